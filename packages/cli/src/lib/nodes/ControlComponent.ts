import { type Member } from "@waxwingspar/config";
import { DutyRunner, LinkTargetPort, PlacementStore, SiteDuty } from "@waxwingspar/control";
import { type TableStore } from "@waxwingspar/stores";
import { type LinkPool } from "@waxwingspar/transport";
import { type ConfigurationComponent } from "./ConfigurationComponent.js";
import { type NodeOptions } from "./NodeOptions.js";

/** @internal */
export interface ControlComponentOptions extends NodeOptions {
    readonly store: TableStore;
    readonly pool: LinkPool;
    /** The configuration component of the same process. */
    readonly part: ConfigurationComponent;
    /** Overrides of the control package's default times, for sites that must react fast. */
    readonly times?: ControlTimes;
}

/** Times in milliseconds; see the options of the control package. @internal */
export interface ControlTimes {
    /** Duration of a lease. */
    readonly duration?: number;
    /** Interval between two steps of the duty. */
    readonly interval?: number;
    readonly drainDelay?: number;
    readonly observeInterval?: number;
}

/**
 * Takes part in the control duty of the process's data centre: places pipelines and issues orders while it holds the
 * lease, and does nothing otherwise.
 *
 * @internal
 */
export class ControlComponent {
    private readonly runner: DutyRunner;

    constructor(options: ControlComponentOptions) {
        const { clock, random, logger, incarnation, store, times, name: process } = options;
        this.runner = new DutyRunner({
            store,
            clock,
            random,
            process,
            incarnation,
            duties: [createSiteDuty(options)],
            duration: times?.duration,
            interval: times?.interval,
            members: () => membersOf(options.part),
            onFault: (duty, fault) => logger.error({ duty, fault }, "control: a duty failed with an unexpected error"),
        });
    }

    /** True while this process holds the duty. */
    get holding(): boolean {
        return this.runner.held().length > 0;
    }

    /** Starts to poll the lease. */
    start(): void {
        this.runner.start();
    }

    /** Ends the work in progress and releases the lease, so that another process can acquire it without delay. */
    stop(): Promise<void> {
        return this.runner.stop();
    }
}

function createSiteDuty(options: ControlComponentOptions): SiteDuty {
    const { dataCentre, clock, logger, record, store, pool, part, times } = options;
    const configuration = part.node;
    const placements = new PlacementStore(part.resources, store);
    return new SiteDuty({
        dataCentre,
        clock,
        configuration,
        store,
        record,
        targets: new LinkTargetPort({ pool, addressOf: target => configuration.get("target", target)?.spec }),
        incarnationOf: createIncarnationLookup(part),
        drainDelay: times?.drainDelay,
        observeInterval: times?.observeInterval,
        readRevision: () => placements.readRevision(),
        writePlacement: (change, guard, changeId) => placements.writePlacement(change, guard, changeId),
        onFailure: (message, { code }) => logger.warn({ code: code.number }, `control: ${message}`),
    });
}

/** Creates a lookup of the incarnation of a target's live agent. The map is rebuilt when the membership changes. */
function createIncarnationLookup({ membership }: ConfigurationComponent): (target: string) => string | undefined {
    let members: readonly Member[] | undefined;
    let incarnations = new Map<string, string | undefined>();
    return target => {
        const latest = membership.members();
        if (latest !== members) {
            members = latest;
            const live = latest.filter(({ role, state }) => role === "agent" && state === "live");
            incarnations = new Map(live.map(({ process, incarnation }) => [process, incarnation]));
        }
        return incarnations.get(target);
    };
}

function membersOf(
    { membership }: ConfigurationComponent,
): { process: string; dataCentre: string; leaving: boolean; }[] {
    return membership.members()
        .filter(({ state }) => state !== "unreachable")
        .map(({ process, dataCentre, state }) => ({ process, dataCentre, leaving: state === "leaving" }));
}
