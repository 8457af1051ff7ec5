import { type Outcome } from "@waxwingspar/utils";
import { type Link } from "./Link.js";

/**
 * Where a process listens.
 *
 * @public
 */
export interface Address {
    /** An IP address, version 4 or 6. */
    readonly host: string;
    readonly port: number;
}

/**
 * Opens links and keeps one open link for each address.
 *
 * @public
 */
export interface LinkPool {
    /**
     * Returns the open link to an address, or opens one.
     *
     * @returns The link; `transportCodes.notConnected` when none could be opened, which proves that nothing was sent.
     */
    connect(address: Address): Promise<Outcome<Link>>;
    /** Returns the open link to an address, if there is one. */
    current(address: Address): Link | undefined;
    /** Adds a function that runs for every link that this pool opens, before its first message. */
    onOpen(handler: (link: Link, address: Address) => void): void;
    /** Closes every link. */
    close(): void;
}
