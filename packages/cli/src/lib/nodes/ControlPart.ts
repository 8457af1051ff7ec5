import { type Member } from "@waxwingspar/config";
import { DutyRunner, LinkTargetPort, PlacementStore, SiteDuty } from "@waxwingspar/control";
import { type TableStore } from "@waxwingspar/stores";
import { type LinkPool } from "@waxwingspar/transport";
import { type ConfigurationPart } from "./ConfigurationPart.js";
import { type NodeOptions } from "./NodeOptions.js";

/** @internal */
export interface ControlPartOptions extends NodeOptions {
    readonly store: TableStore;
    readonly pool: LinkPool;
    readonly part: ConfigurationPart;
    /** Times that differ from the defaults of the control package, for sites that are to move fast. */
    readonly times?: ControlTimes;
}

/** In milliseconds; see the options of the control package. @internal */
export interface ControlTimes {
    /** How long a lease lasts. */
    readonly duration?: number;
    /** Between two steps. */
    readonly interval?: number;
    readonly drainDelay?: number;
    readonly observeInterval?: number;
}

/**
 * The part that a process takes in the control duty of its data centre: it places pipelines and gives orders while it
 * holds the lease, and does nothing otherwise.
 *
 * @internal
 */
export class ControlPart {
    private readonly runner: DutyRunner;

    constructor(options: ControlPartOptions) {
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
            onFault: (duty, fault) => logger.error({ duty, fault }, "control: a duty met a fault of the program"),
        });
    }

    /** True while this process holds the duty. */
    get holding(): boolean {
        return this.runner.held().length > 0;
    }

    /** Begins to poll the lease. */
    start(): void {
        this.runner.start();
    }

    /** Ends the work in progress and gives the lease up, so that another takes it at once. */
    stop(): Promise<void> {
        return this.runner.stop();
    }
}

function createSiteDuty(options: ControlPartOptions): SiteDuty {
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
        incarnationOf: liveIncarnations(part),
        drainDelay: times?.drainDelay,
        observeInterval: times?.observeInterval,
        readRevision: () => placements.readRevision(),
        writePlacement: (change, guard, changeId) => placements.writePlacement(change, guard, changeId),
        onFailure: (message, { code }) => logger.warn({ code: code.number }, `control: ${message}`),
    });
}

/** Looks up the start of a target's live agent. The table is built once for each change of the membership. */
function liveIncarnations({ membership }: ConfigurationPart): (target: string) => string | undefined {
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

function membersOf({ membership }: ConfigurationPart): { process: string; dataCentre: string; leaving: boolean; }[] {
    return membership.members()
        .filter(({ state }) => state !== "unreachable")
        .map(({ process, dataCentre, state }) => ({ process, dataCentre, leaving: state === "leaving" }));
}
