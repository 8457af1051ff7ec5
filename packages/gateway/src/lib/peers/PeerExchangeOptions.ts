import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Moment } from "../Moment.js";
import { type TableStatus } from "../store/TableWatchOptions.js";
import { type Member } from "./GroupMembers.js";
import { type GroupSums } from "./GroupSums.js";
import { type KnownConfiguration } from "./heartbeat.js";
import { type PeerState } from "./PeerState.js";

/** The known state of the store's tables, by name. */
export type TableStatuses = Readonly<Record<string, TableStatus>>;

/** Options of {@link PeerExchange}. */
export interface PeerExchangeOptions {
    readonly clock: Clock;
    readonly process: string;
    readonly incarnation: string;
    readonly own: Member;
    readonly logger: Logger;
    /** Sends a datagram to a gateway; delivery is not guaranteed. */
    readonly send: (address: string, datagram: string) => void;
    /** The current state of this process. */
    readonly describe: () => PeerState;
    /** The state of the store's tables as this process knows it, by name. */
    readonly words: () => TableStatuses;
    /** What this process knows of the configuration. */
    readonly knownConfiguration?: () => KnownConfiguration | undefined;
    /** A peer reported what it knows of the configuration, now or earlier. */
    readonly onKnownConfiguration?: (known: KnownConfiguration) => void;
    /** A peer reported the state of a table at some time after the given moment. */
    readonly onTableStatus?: (table: string, status: TableStatus, after: Moment, sender: Member) => void;
    /** Handles a datagram that is not a heartbeat. Returns false if it cannot be read either. */
    readonly onOther?: (datagram: string) => boolean;
    /** Called after each heartbeat with the aggregated state of the other gateways. */
    readonly onSums?: (others: GroupSums) => void;
}
