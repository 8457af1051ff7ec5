import { type Clock, type Random, readStateChart, StateChart } from "@waxwingspar/utils";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { ageOf, currentMoment, type Moment } from "../Moment.js";
import { type PeerGroup } from "../peers/PeerGroup.js";
import { type Store, type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { TableWatch } from "../store/TableWatch.js";

type LeaseState = "following" | "acquiring" | "holding" | "paused" | "ended";
type LeaseEvent =
    | "holderSilent"
    | "acquired"
    | "failed"
    | "superseded"
    | "unconfirmed"
    | "confirmed"
    | "released";

const chart = readStateChart<LeaseState, LeaseEvent>(new URL("./placementLease.json", import.meta.url));

const rowSchema = z.object({ holder: z.string(), incarnation: z.string(), term: z.number() });

/** Options of {@link PlacementLease}. */
export interface PlacementLeaseOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    /** Spreads the attempts of gateways that lost the store at the same moment; without it they are not spread. */
    readonly random?: Random;
    readonly process: string;
    readonly incarnation: string;
    readonly peers: Pick<PeerGroup, "others">;
    readonly logger: Logger;
}

const table = "duties";
const key = "placement";
/** Milliseconds between two checks of the lease. */
const checkInterval = 200;
/**
 * Milliseconds after the start, and after the loss of the lease, during which this process only receives heartbeats
 * before it may acquire the lease: the state of a peer may arrive over two relays, each of which waits for its next
 * heartbeat.
 */
const startDelay = 1_000;
/** Milliseconds for which one watch call of the holder waits for a change in the store. */
const watchTimeout = 2_000;
/** Milliseconds since the last confirmation by the store after which the holder gives no orders. */
const maxConfirmationAge = 4_300;
/** Milliseconds before a failed attempt to acquire the lease is repeated. */
const retryDelay = 600;
/**
 * Milliseconds for which a process that could not reach the store leaves the lease to others. A process that follows
 * the store through its peers notices the lost connection only when it tries to acquire the lease.
 */
const unreachableBackOff = 3_000;

/**
 * The lease on the placement duty, the role of the gateway that plans layers and sends orders to targets. Its row in
 * the store names the holder and a term, which increases with each holder. Other gateways learn from heartbeats that
 * the holder is alive, without calls to the store. When the heartbeats stop, the candidate with the lowest name writes
 * itself into the row. Two processes may briefly both consider themselves the holder; the order counts of the targets
 * keep their orders from interleaving.
 */
export class PlacementLease {
    private readonly state = new StateChart<LeaseState, LeaseEvent>(chart);
    private heldTerm = 0;
    /** The highest term that this process has seen: a store that was restored from a copy may hold an older one. */
    private highestTerm = 0;
    private confirmedAt: Moment | undefined;
    private watch: TableWatch | undefined;
    private nextAttemptAt = 0;
    /** Until when this process is no candidate, because it could not reach the store to acquire the lease. */
    private backOffUntil = -Infinity;

    constructor(private readonly options: PlacementLeaseOptions) {}

    /** The term of the lease while this process holds it; otherwise undefined. */
    get term(): number | undefined {
        return this.state.state === "holding" || this.state.state === "paused" ? this.heldTerm : undefined;
    }

    /** Whether this process may give orders: it holds the lease, and the store has confirmed this recently. */
    get isHeld(): boolean {
        return this.state.state === "holding" && this.confirmationAge < maxConfirmationAge;
    }

    private get confirmationAge(): number {
        return this.confirmedAt === undefined ? Infinity : ageOf(this.confirmedAt, this.options.clock);
    }

    /** Whether this process is a candidate; false for a while after an attempt that could not reach the store. */
    get mayAcquire(): boolean {
        return this.options.clock.now() >= this.backOffUntil;
    }

    start(): void {
        this.nextAttemptAt = this.options.clock.now() + startDelay;
        this.check();
    }

    /** Releases the lease; a peer acquires it once this process no longer claims it in its heartbeats. */
    release(): void {
        this.watch?.stop();
        this.state.send("released");
    }

    private check(): void {
        if (this.state.state === "ended") {
            return;
        }
        const now = this.options.clock.now();
        if (this.state.state === "following" && now >= this.nextAttemptAt && this.isPreferredCandidate()) {
            void this.acquire();
        }
        if (this.state.state === "holding" && this.confirmationAge > maxConfirmationAge) {
            this.state.send("unconfirmed");
            this.options.logger.warn({ term: this.heldTerm, age: Math.round(this.confirmationAge) }, "duty paused");
        }
        this.options.clock.schedule(() => this.check(), checkInterval);
    }

    /** Whether no live peer holds the lease and no candidate precedes this process. */
    private isPreferredCandidate(): boolean {
        const { peers, process } = this.options;
        const { dutyTerm, firstCandidate } = peers.others;
        return dutyTerm === undefined && (firstCandidate === undefined || firstCandidate >= process);
    }

    private async acquire(): Promise<void> {
        const { store, process, incarnation, clock, logger } = this.options;
        this.state.send("holderSilent");
        this.nextAttemptAt = clock.now() + retryDelay;
        const asked = currentMoment(clock);
        const current = await store.read(table);
        if (current.kind !== "read") {
            logger.info({ result: current.kind }, "duty not taken");
            this.backOffUntil = clock.now() + unreachableBackOff;
            this.nextAttemptAt = clock.now() + this.unreachableDelay();
            this.state.send("failed");
            return;
        }
        const row = current.rows.find(row => row.key === key);
        const known = Math.max(this.highestTerm, this.options.peers.others.dutyTerm ?? 0);
        const term = Math.max(readTerm(row) ?? 0, known) + 1;
        const value = { holder: process, incarnation, term };
        const written = await store.write({ table, key, value, expectedVersion: row?.version ?? 0 });
        if (written.kind !== "written") {
            // A write without a reply may still take effect; the next attempt reads the row again.
            logger.info({ term, result: written.kind }, "duty not taken");
            this.state.send("failed");
            return;
        }
        if (this.state.send("acquired")) {
            this.heldTerm = term;
            this.highestTerm = term;
            this.confirmedAt = asked;
            logger.info({ term }, "duty taken");
            this.watchRow();
        }
    }

    /**
     * The delay of the next attempt after the store was not reached. When nobody reaches it, every gateway is preferred,
     * so that the delay grows with their number: together they make one attempt per retry delay.
     */
    private unreachableDelay(): number {
        const { peers, random } = this.options;
        const delay = Math.min(unreachableBackOff, retryDelay * (peers.others.members + 1));
        return Math.max(retryDelay, delay * (random?.next() ?? 1));
    }

    private watchRow(): void {
        const { clock, store } = this.options;
        this.watch?.stop();
        const watch: TableWatch = new TableWatch({
            clock,
            store,
            table,
            wait: watchTimeout,
            eras: this.options.eras,
            onSnapshot: (rows, _graceEnd, isRestored) => {
                if (isRestored) {
                    void this.restoreRow(rows.find(row => row.key === key), watch);
                }
                else {
                    this.checkHolder(rows, watch);
                }
            },
            onChanges: changes => this.checkHolder(changes.flatMap(({ row }) => row ?? []), watch),
            onConfirmed: after => this.recordConfirmation(after, watch),
        });
        this.watch = watch;
        void watch.run();
    }

    /**
     * Handles that the store was restored from a copy: the holder writes its row again with its term, unless the row
     * has this term or that of a later holder. Until then the store confirms nothing, so orders stop once the last
     * confirmation is too old.
     */
    private async restoreRow(row: StoredRow | undefined, watch: TableWatch): Promise<void> {
        const { store, process, incarnation, logger } = this.options;
        if (this.watch !== watch || (readTerm(row) ?? 0) >= this.heldTerm) {
            this.checkHolder(row === undefined ? [] : [row], watch);
            return;
        }
        const value = { holder: process, incarnation, term: this.heldTerm };
        const written = await store.write({ table, key, value, expectedVersion: row?.version ?? 0 });
        logger.warn({ term: this.heldTerm, copy: readTerm(row), result: written.kind }, "duty written again");
        if (written.kind !== "written" && this.watch === watch) {
            this.watchRow();
        }
    }

    private checkHolder(rows: readonly StoredRow[], watch: TableWatch): void {
        const row = rows.findLast(row => row.key === key);
        const parsed = rowSchema.safeParse(row?.value);
        if (this.watch !== watch || !parsed.success) {
            return;
        }
        const { holder, incarnation, term } = parsed.data;
        this.highestTerm = Math.max(this.highestTerm, term);
        if (holder !== this.options.process || incarnation !== this.options.incarnation || term !== this.heldTerm) {
            watch.stop();
            // The new holder had not received heartbeats of this one, so its own heartbeats may also take up to this
            // delay.
            this.nextAttemptAt = this.options.clock.now() + startDelay;
            this.state.send("superseded");
            this.options.logger.warn({ term: this.heldTerm, holder, newTerm: term }, "duty lost");
        }
    }

    private recordConfirmation(after: Moment, watch: TableWatch): void {
        if (this.watch === watch) {
            this.confirmedAt = after;
            if (this.state.send("confirmed")) {
                this.options.logger.info({ term: this.heldTerm }, "duty resumed");
            }
        }
    }
}

function readTerm(row: StoredRow | undefined): number | undefined {
    return rowSchema.safeParse(row?.value).data?.term;
}
