/** An address that a process listens on or calls. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** The settings of a gateway process, as the platform gives them. Times are in milliseconds. */
export interface GatewaySettings {
    /** The name of the process. */
    readonly process: string;
    readonly host: string;
    readonly dataCentre: string;
    /** Inclusive range of ports for traffic between gateways. */
    readonly internalPorts: { readonly first: number; readonly last: number; };
    /** Address that callers connect to. */
    readonly callers: Address;
    /** Address that the load balancer probes for readiness. */
    readonly readiness: Address;
    readonly store: Address;
    /** Megabytes of memory and number of sockets that the process may use; undefined if the platform sets no bound. */
    readonly maxMemory: number | undefined;
    readonly maxSockets: number | undefined;
    /**
     * Time without faults after which the platform's guarantees apply to this process, including that it knows of every
     * target that was removed.
     */
    readonly contactTime: number;
    /** Time after the store has recorded a target's removal in which requests may still reach the target. */
    readonly drainTime: number;
    /**
     * Time after the store has accepted a configuration until it must be in force; undefined if the platform sets no
     * bound.
     */
    readonly configurationTime: number | undefined;
    /** Time from the stop request until the process is killed. */
    readonly stopGrace: number;
    /**
     * Time after which a revoked credential must no longer work, even without contact to the store; undefined if that
     * is required only during contact.
     */
    readonly keyRevocation: number | undefined;
    /** Retries allowed for each request, in any {@link retryWindow}. */
    readonly retryShare: number;
    readonly retryWindow: number;
    /** Retries allowed beyond {@link retryShare} in any window, over all gateways together. */
    readonly retryReserve: number;
}
