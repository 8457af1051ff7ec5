import { type TableStore } from "@waxwingspar/stores";
import { type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { withDefaults } from "../support/withDefaults.js";
import { Lease } from "./Lease.js";
import { rendezvousOrder } from "./rendezvous.js";

/**
 * A control task that one process at a time performs for the whole system, under a lease.
 *
 * @public
 */
export interface Duty {
    readonly name: string;
    /** The data centre whose processes are preferred as candidates, for a duty that belongs to one. */
    readonly dataCentre?: string;
    /**
     * Performs one short step. Called periodically while the lease is held, and never concurrently. Every external
     * effect must go through {@link Lease.checked}.
     */
    tick(lease: Lease): Promise<void>;
}

/**
 * A process that is eligible to hold duties.
 *
 * @public
 */
export interface DutyMember {
    readonly process: string;
    readonly dataCentre: string;
    /** True once the process no longer accepts new duties. */
    readonly leaving: boolean;
}

/**
 * Options of {@link DutyRunner}.
 *
 * @public
 */
export interface DutyRunnerOptions {
    readonly store: TableStore;
    readonly clock: Clock;
    readonly random: Random;
    readonly process: string;
    readonly incarnation: string;
    readonly duties: readonly Duty[];
    /** Returns the currently known processes. The list may be stale and may differ between processes. */
    readonly members: () => readonly DutyMember[];
    /** Number of processes that poll the lease of one duty. */
    readonly candidates?: number;
    /** Milliseconds that a lease is valid after each renewal. */
    readonly duration?: number;
    /** Milliseconds between the end of one tick and the start of the next. */
    readonly interval?: number;
    /** Called when a tick throws, which indicates a bug. The duty continues with the next tick. */
    readonly onFault?: (duty: string, error: unknown) => void;
}

interface RunningDuty {
    readonly duty: Duty;
    readonly lease: Lease;
    pollTimer: Timer | undefined;
    tickTimer: Timer | undefined;
    polling: Promise<void> | undefined;
    ticking: Promise<void> | undefined;
}

const pollsPerDuration = 3;

/**
 * Polls the lease of each duty for which this process is a candidate, and runs the duty's ticks while it holds the
 * lease. Any entry or agent can run one. Losing the holder delays the duty by one lease duration and affects no
 * traffic.
 *
 * @public
 */
export class DutyRunner {
    private readonly options: Required<DutyRunnerOptions>;
    private readonly running: RunningDuty[];
    private stopped = false;

    constructor(options: DutyRunnerOptions) {
        const defaults = { candidates: 3, duration: 10_000, interval: 1_000, onFault: () => undefined };
        this.options = withDefaults(defaults, options);
        this.running = options.duties.map(duty => this.prepare(duty));
    }

    /** Starts polling. The first poll has a random delay, so that processes restarted together do not poll together. */
    start(): void {
        for (const running of this.running) {
            this.schedulePoll(running, this.options.random.next() * this.pollInterval);
            this.scheduleTick(running);
        }
    }

    /** Returns the names of the duties whose leases this process currently holds. */
    held(): string[] {
        return this.running.filter(({ lease }) => lease.isHeld()).map(({ duty }) => duty.name);
    }

    /** Waits for the ticks in progress, then releases the leases, so that other processes can acquire them at once. */
    async stop(): Promise<void> {
        this.stopped = true;
        for (const running of this.running) {
            running.pollTimer?.cancel();
            running.tickTimer?.cancel();
        }
        await Promise.all(this.running.map(async running => {
            await running.ticking;
            await running.polling;
            await running.lease.release();
        }));
    }

    private get pollInterval(): number {
        return this.options.duration / pollsPerDuration;
    }

    private prepare(duty: Duty): RunningDuty {
        const { store, clock, process, incarnation, duration } = this.options;
        const lease = new Lease({ store, clock, duty: duty.name, holder: process, incarnation, duration });
        return {
            duty,
            lease,
            pollTimer: undefined,
            tickTimer: undefined,
            polling: undefined,
            ticking: undefined,
        };
    }

    private schedulePoll(running: RunningDuty, delay: number): void {
        if (this.stopped) {
            return;
        }
        running.pollTimer = this.options.clock.schedule(() => {
            running.polling = this.poll(running);
            void running.polling.then(() => this.schedulePoll(running, this.pollInterval));
        }, delay);
    }

    private async poll(running: RunningDuty): Promise<void> {
        if (running.lease.isHeld() || this.isCandidate(running.duty)) {
            await running.lease.poll();
        }
    }

    private scheduleTick(running: RunningDuty): void {
        if (this.stopped) {
            return;
        }
        running.tickTimer = this.options.clock.schedule(() => {
            running.ticking = this.tick(running);
            void running.ticking.then(() => this.scheduleTick(running));
        }, this.options.interval);
    }

    private async tick({ duty, lease }: RunningDuty): Promise<void> {
        if (!lease.isHeld()) {
            return;
        }
        try {
            await duty.tick(lease);
        }
        catch (error) {
            this.options.onFault(duty.name, error);
        }
    }

    /**
     * Prefers processes of the duty's own data centre and uses others only when it has too few. Hash weights are
     * computed only for the group that determines the result, since this runs for every duty in every process.
     */
    private isCandidate(duty: Duty): boolean {
        const { process, candidates } = this.options;
        const members = this.options.members().filter(member => !member.leaving);
        const near = members.filter(member => member.dataCentre === duty.dataCentre);
        const isNear = near.some(member => member.process === process);
        if (isNear || near.length >= candidates) {
            return isNear && isAmongFirst(duty.name, process, near, candidates);
        }
        const far = members.filter(member => member.dataCentre !== duty.dataCentre);
        return isAmongFirst(duty.name, process, far, candidates - near.length);
    }
}

function isAmongFirst(duty: string, process: string, members: readonly DutyMember[], count: number): boolean {
    return rendezvousOrder(duty, members.map(member => member.process)).slice(0, count).includes(process);
}
