import { type Clock, type Random } from "@waxwingspar/utils";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";

/** Outcome of an exchange, for judging the health of the target. */
export type ExchangeVerdict = "served" | "failed" | "refused" | "withdrawn";

/** Options of {@link ServicePicker}. */
export interface ServicePickerOptions {
    readonly clock: Clock;
    readonly service: string;
    readonly dataCentre: string;
    readonly directory: TargetDirectory;
    /** Spreads requests over targets of equal cost; without it, the first one in the list gets them. */
    readonly random?: Random;
    /** Number of requests of all gateways on a target, by its incarnation; undefined if it is not known. */
    readonly knownLoad?: (head: string) => number | undefined;
    readonly isOn?: MechanismSwitch;
}

interface TargetRecord {
    inFlight: number;
    /** Mean time to serve, in milliseconds; undefined until something was served. */
    latency: number | undefined;
    /** Number of failures as of `failuresAt`, with exponential decay over time. */
    failures: number;
    failuresAt: number;
}

/** Weight of the newest sample in the moving average of the latency. */
const latencyWeight = 0.2;
/** Milliseconds of latency assumed for a target that has not served a request yet. */
const unknownLatency = 50;
/** Milliseconds added for a target in another data centre: a few round trips, to reflect the cost of the traffic. */
const remotePenalty = 10;
/** Half-life of a failure in milliseconds, short enough that a failed target is tried again within seconds. */
const failureHalfLife = 2_000;
/** Relative increase of a target's cost per recent failure. */
const failureWeight = 3;

/** Chooses targets of a service without chains, by the outcomes of this process's own requests to them. */
export class ServicePicker {
    /** By incarnation, so that a late failure from before a restart does not count against the restarted target. */
    private readonly records = new Map<string, TargetRecord>();

    private readonly random: Random | undefined;
    private readonly knownLoad: (head: string) => number | undefined;

    constructor(private readonly options: ServicePickerOptions) {
        const { random, knownLoad = () => undefined, isOn = allMechanismsOn } = options;
        const isSpreading = isOn("slot-admission");
        this.random = isSpreading ? random : undefined;
        this.knownLoad = isSpreading ? knownLoad : () => undefined;
    }

    /** The targets that may get requests. */
    list(): Target[] {
        return this.options.directory.readyTargets(this.options.service);
    }

    /**
     * @param excluded - Ids of targets that are not chosen.
     * @param mayUse - Whether a target may be chosen.
     * @returns The target with the lowest cost that may be chosen, a random one of several; undefined if there is none.
     */
    choose(excluded: ReadonlySet<string>, mayUse: (target: Target) => boolean = () => true): Target | undefined {
        const targets = this.list().filter(target => !excluded.has(target.id) && mayUse(target));
        let best: Target[] = [];
        let bestCost = Infinity;
        for (const target of targets) {
            const cost = this.cost(target);
            if (cost < bestCost) {
                best = [target];
                bestCost = cost;
            }
            else if (cost === bestCost) {
                best.push(target);
            }
        }
        return best.length > 1 && this.random !== undefined ? best[this.random.below(best.length)] : best[0];
    }

    /** Records that a request was sent to a target. */
    sent(target: Target): void {
        this.record(target).inFlight++;
    }

    /** Records the outcome of a request and its latency in milliseconds. */
    ended(target: Target, verdict: ExchangeVerdict, latency: number): void {
        const record = this.record(target);
        record.inFlight--;
        if (verdict === "served") {
            const known = record.latency ?? latency;
            record.latency = known + (latency - known) * latencyWeight;
        }
        else if (verdict !== "withdrawn") {
            record.failures = this.recentFailures(record) + (verdict === "failed" ? 1 : 0.5);
            record.failuresAt = this.options.clock.now();
        }
        if (record.inFlight === 0 && this.options.directory.get(target.id)?.startedAt !== target.startedAt) {
            this.records.delete(incarnationOf(target));
        }
    }

    private cost(target: Target): number {
        const record = this.record(target);
        const latency = (record.latency ?? unknownLatency) * (1 + this.requestsAt(target, record));
        const distance = target.dataCentre === this.options.dataCentre ? 0 : remotePenalty;
        return (latency + distance) * (1 + failureWeight * this.recentFailures(record));
    }

    /** Counts the requests at a target, with those of other gateways if the target lists its slots. */
    private requestsAt(target: Target, { inFlight }: TargetRecord): number {
        const known = target.slots === undefined ? undefined : this.knownLoad(incarnationOf(target));
        return Math.max(inFlight, known ?? 0);
    }

    private recentFailures({ failures, failuresAt }: TargetRecord): number {
        return failures * 0.5 ** ((this.options.clock.now() - failuresAt) / failureHalfLife);
    }

    private record(target: Target): TargetRecord {
        const incarnation = incarnationOf(target);
        let record = this.records.get(incarnation);
        if (record === undefined) {
            record = { inFlight: 0, latency: undefined, failures: 0, failuresAt: 0 };
            this.records.set(incarnation, record);
        }
        return record;
    }
}
