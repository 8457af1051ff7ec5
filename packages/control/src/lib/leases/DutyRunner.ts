import { type TableStore } from "@waxwingspar/stores";
import { type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { withDefaults } from "../support/withDefaults.js";
import { Lease } from "./Lease.js";
import { rendezvousOrder } from "./rendezvous.js";

/**
 * Work that one process at a time does for all.
 *
 * @public
 */
export interface Duty {
    readonly name: string;
    /** The data centre whose processes are asked first, for a duty that belongs to one. */
    readonly dataCentre?: string;
    /**
     * Does a short piece of the work. It is called again and again while the lease is held, never twice at a time, and
     * passes every act through {@link Lease.checked}.
     */
    tick(lease: Lease): Promise<void>;
}

/**
 * A process that may hold duties.
 *
 * @public
 */
export interface DutyMember {
    readonly process: string;
    readonly dataCentre: string;
    /** True once the process takes no new duties. */
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
    /** The processes known now. The list may lag; lists of two processes may differ. */
    readonly members: () => readonly DutyMember[];
    /** How many processes poll the lease of one duty. */
    readonly candidates?: number;
    /** Milliseconds that a lease lasts from each renewal. */
    readonly duration?: number;
    /** Milliseconds between two pieces of work. */
    readonly interval?: number;
    /** Is told of a piece of work that threw, which is a fault of the program. The duty goes on with the next. */
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
 * Takes part in the control duties: polls the lease of each duty for which this process is a candidate, and does the
 * duty's work while it holds the lease. Any entry or agent can run one; losing it costs a lease period and no traffic.
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

    /** Starts to poll. The first poll is spread over the poll interval, so that a restarted fleet does not poll at once. */
    start(): void {
        for (const running of this.running) {
            this.schedulePoll(running, this.options.random.next() * this.pollInterval);
            this.scheduleTick(running);
        }
    }

    /** The duties whose leases this process holds now. */
    held(): string[] {
        return this.running.filter(({ lease }) => lease.isHeld()).map(({ duty }) => duty.name);
    }

    /** Ends the pieces of work in progress, then gives up the leases, so that others can take them at once. */
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
     * Processes of the duty's own data centre go first; those of others stand in when it has too few. Weights are worked
     * out only for the group that decides, since this runs for every duty in every process.
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
