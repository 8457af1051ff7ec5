import { type ModelSpec } from "@waxwingspar/config";
import { type Random } from "@waxwingspar/utils";

/**
 * What the ranking of a model's versions depends on.
 *
 * @internal
 */
export interface VersionOptions {
    readonly model: Pick<ModelSpec, "current" | "versions" | "replicas">;
    /** The number of pipelines that serve each version. */
    readonly counts: ReadonlyMap<string, number> | undefined;
    /** The versions that the request's adapter fits; undefined without an adapter. */
    readonly adapterVersions: readonly string[] | undefined;
    readonly random: Random;
}

/**
 * The versions that may serve a request, in the order to try them.
 *
 * During a rollout, the first version is drawn at random from the versions with pipelines, weighted by their number of
 * pipelines, so that the load is even across pipelines. Once the current version has all its replicas, and no other
 * version has more pipelines, it comes first. The other versions follow as a fallback if no chain is available. The
 * current version is always included if the adapter fits it.
 *
 * @internal
 */
export function rankVersions({ model, counts, adapterVersions, random }: VersionOptions): readonly string[] {
    const { current, replicas } = model;
    const fitting = model.versions.filter(version => adapterVersions?.includes(version) !== false);
    const serving = fitting.filter(version => countOf(counts, version) > 0);
    if (serving.length === 0) {
        return [fitting.length === 0 || fitting.includes(current) ? current : fitting[0]!];
    }
    const others = serving.filter(version => version !== current).map(version => countOf(counts, version));
    const isComplete = serving.includes(current) && countOf(counts, current) >= Math.max(replicas, ...others);
    const ranked = [isComplete ? current : pickWeighted(serving, counts, random), ...serving];
    return [...new Set(fitting.includes(current) ? [...ranked, current] : ranked)];
}

function pickWeighted(versions: readonly string[], counts: VersionOptions["counts"], random: Random): string {
    const total = versions.reduce((sum, version) => sum + countOf(counts, version), 0);
    let left = random.next() * total;
    for (const version of versions) {
        left -= countOf(counts, version);
        if (left < 0) {
            return version;
        }
    }
    return versions.at(-1)!;
}

function countOf(counts: VersionOptions["counts"], version: string): number {
    return counts?.get(version) ?? 0;
}
