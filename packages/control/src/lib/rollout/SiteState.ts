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
    /** Returns the incarnation of a target's agent that membership reports as live, if any. */
    readonly incarnationOf: (target: string) => string | undefined;
    /** Milliseconds for which a target may be missing from membership before it counts as lost. */
    readonly grace: number;
    /**
     * Returns the time after which reports show the effect of every order; undefined while some order is unresolved.
     */
    readonly settledSince: (target: string, incarnation: string) => number | undefined;
    /** Returns the model versions that a target has recently and repeatedly refused to load. */
    readonly refusedBy: (target: string) => readonly RefusedVersion[];
}

interface Report {
    readonly observation: Observation;
    /** The monotonic time at which the report was requested. */
    readonly at: number;
}

/** A change that the store has accepted and that is not yet in force in this process. */
interface PendingChange {
    readonly spec: PlacementSpec | undefined;
    readonly revision: number;
}

type DeclaredSite = Pick<SiteView, "models" | "adapters"> & { readonly targets: ReadonlyMap<string, SiteTarget>; };

/**
 * The state that the holder of a duty keeps about its data centre. The next holder can rebuild all of it, so nothing is
 * lost when a holder fails.
 *
 * @internal
 */
export class SiteState {
    private readonly reports = new Map<string, Report>();
    private readonly lastSeen = new Map<string, number>();
    private readonly pendingChanges = new Map<string, PendingChange>();
    private readonly started: number;
    /** Targets that membership reported as live at the last refresh. */
    private present = new Set<string>();
    private declared: { readonly revision: number; readonly site: DeclaredSite; } | undefined;

    constructor(private readonly options: SiteStateOptions) {
        this.started = options.clock.now();
    }

    /** Updates which targets membership reports as live. Must be called before each step. */
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

    /** Stores a report of a target, unless it was requested earlier than the stored one. */
    recordReport(target: string, observation: Observation, at: number): void {
        if ((this.reports.get(target)?.at ?? -Infinity) < at) {
            this.reports.set(target, { observation, at });
        }
    }

    /** Records an accepted change, so that views include it before it is in force in this process. */
    accept({ name, spec }: PlacementChange, revision: number): void {
        this.pendingChanges.set(name, { spec, revision });
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
        // The grace period of a target that has not been seen starts when this process becomes the holder.
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
        for (const [name, { spec, revision }] of this.pendingChanges) {
            if (configuration.revision >= revision) {
                this.pendingChanges.delete(name);
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
