import { type Configuration } from "@waxwingspar/config";
import { type Random } from "@waxwingspar/utils";
import { type PipelineCounts, pipelineCounts } from "./pipelineCounts.js";
import { rankVersions } from "./rankVersions.js";

/**
 * Ranks the versions of a model that currently serve requests.
 *
 * @internal
 */
export class ModelVersions {
    private counts: PipelineCounts = new Map();

    constructor(private readonly configuration: Configuration, private readonly random: Random) {
        this.refresh();
    }

    /** Recounts the pipelines. Must be called after each change of the configuration. */
    refresh(): void {
        this.counts = pipelineCounts(this.configuration);
    }

    /** The versions that may serve a request, in the order to try them; empty for an unknown model. */
    rank(model: string, adapter: string | undefined): readonly string[] {
        const spec = this.configuration.get("model", model)?.spec;
        if (spec === undefined) {
            return [];
        }
        const adapterSpec = adapter === undefined ? undefined : this.configuration.get("adapter", adapter)?.spec;
        return rankVersions({
            model: spec,
            counts: this.counts.get(model),
            adapterVersions: adapterSpec?.versions,
            random: this.random,
        });
    }
}
