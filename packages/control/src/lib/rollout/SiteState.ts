import { type Configuration, type PlacementSpec } from "@waxwingspar/config";
import { type Clock } from "@waxwingspar/utils";
import { type RefusedVersion } from "../orders/Refusals.js";
import { type Observation } from "../orders/TargetPort.js";
import { placementPrefix } from "./placementName.js";
import { siteModels } from "./siteModels.js";
import { type PlacementChange, type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

/** @internal */
export interface SiteStateOptions {
    readonly dataCentre: string;
    readonly clock: Clock;
    readonly configuration: Configuration;
    /** The start of a target's agent that membership knows to be live, if any. */
    readonly incarnationOf: (target: string) => string | undefined;
    /** Milliseconds for which membership may miss a target before it counts as lost. */
    readonly grace: number;
    /** From when on reports of a start of an agent show the effect of every order; undefined while some are open. */
    readonly settledSince: (target: string, incarnation: string) => number | undefined;
    /** Model versions that a target has refused to load several times, not long ago. */
    readonly refusedBy: (target: string) => readonly RefusedVersion[];
}

interface Report {
    readonly observation: Observation;
    readonly at: number;
}

/** A change that the store has accepted and that is not in force here yet. */
interface OwnChange {
    readonly spec: PlacementSpec | undefined;
    readonly revision: number;
}

type DeclaredSite = Pick<SiteView, "models" | "adapters"> & { readonly targets: ReadonlyMap<string, SiteTarget>; };

/**
 * What the holder of a duty knows of its data centre. All of it can be learned again, so nothing is lost with the
 * holder.
 *
 * @internal
 */
export class SiteState {
    private readonly reports = new Map<string, Report>();
    private readonly lastSeen = new Map<string, number>();
    private readonly ownChanges = new Map<string, OwnChange>();
    private readonly started: number;
    /** Targets that membership saw at the last refresh. */
    private present = new Set<string>();
    private declared: { readonly revision: number; readonly site: DeclaredSite; } | undefined;

    constructor(private readonly options: SiteStateOptions) {
        this.started = options.clock.now();
    }

    /** Notes which targets membership sees. To be called before each view. */
    refresh(): void {
        const now = this.options.clock.now();
        this.present = new Set();
        for (const name of this.site().targets.keys()) {
            const incarnation = this.options.incarnationOf(name);
            if (incarnation === undefined) {
                continue;
            }
            this.lastSeen.set(name, now);
            this.present.add(name);
            if (this.reports.get(name)?.observation.incarnation !== incarnation) {
                this.reports.delete(name);
            }
        }
    }

    view(): SiteView {
        const { models, adapters, targets } = this.site();
        const seen = [...targets.values()].map((
            target,
        ): [string, SiteTarget] => [target.name, this.withReport(target)]);
        const placements = this.placements();
        return { dataCentre: this.options.dataCentre, models, adapters, targets: new Map(seen), placements };
    }

    /** Takes a report of a target; a report asked for earlier than the one at hand is dropped. */
    report(target: string, observation: Observation, at: number): void {
        if ((this.reports.get(target)?.at ?? -Infinity) < at) {
            this.reports.set(target, { observation, at });
        }
    }

    /** Notes an accepted change, so that it counts before the configuration in force has it. */
    accept({ name, spec }: PlacementChange, revision: number): void {
        this.ownChanges.set(name, { spec, revision });
    }

    private site(): DeclaredSite {
        const { configuration, dataCentre } = this.options;
        if (this.declared?.revision !== configuration.revision) {
            const targets = configuration.list("target")
                .filter(({ spec }) => spec.dataCentre === dataCentre)
                .map((
                    { name, spec },
                ): [string, SiteTarget] => [name, {
                    name,
                    spec,
                    alive: false,
                    present: false,
                    settled: false,
                    refused: [],
                }]);
            const site = {
                models: siteModels(configuration, dataCentre),
                adapters: configuration.list("adapter").map(({ name, spec }) => ({ name, spec })),
                targets: new Map(targets.sort(([a], [b]) => a < b ? -1 : 1)),
            };
            this.declared = { revision: configuration.revision, site };
        }
        return this.declared.site;
    }

    private withReport(target: SiteTarget): SiteTarget {
        const { clock, grace } = this.options;
        // A new holder gives every target the whole grace period.
        const seen = this.lastSeen.get(target.name) ?? this.started;
        const report = this.reports.get(target.name);
        return {
            ...target,
            alive: clock.now() - seen < grace,
            present: this.present.has(target.name),
            observation: report?.observation,
            observedAt: report?.at,
            refused: this.options.refusedBy(target.name),
            settled: report !== undefined && this.isSettled(target.name, report),
        };
    }

    private isSettled(target: string, { observation, at }: Report): boolean {
        const since = this.options.settledSince(target, observation.incarnation);
        return since !== undefined && at > since;
    }

    private placements(): SitePlacement[] {
        const { configuration, dataCentre } = this.options;
        const found = new Map<string, SitePlacement>();
        for (const { name, spec, resourceVersion } of configuration.list("placement")) {
            if (name.startsWith(placementPrefix(spec.model, dataCentre))) {
                found.set(name, { name, spec, resourceVersion });
            }
        }
        for (const [name, { spec, revision }] of this.ownChanges) {
            if (configuration.revision >= revision) {
                this.ownChanges.delete(name);
            }
            else if (spec === undefined) {
                found.delete(name);
            }
            else {
                found.set(name, { name, spec, resourceVersion: revision });
            }
        }
        return [...found.values()].sort((a, b) => a.name < b.name ? -1 : 1);
    }
}
