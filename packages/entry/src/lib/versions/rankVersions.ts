import { type ModelSpec } from "@waxwingspar/config";
import { type Random } from "@waxwingspar/utils";

/**
 * What decides to which version of a model a request goes.
 *
 * @internal
 */
export interface VersionOptions {
    readonly model: Pick<ModelSpec, "current" | "versions" | "replicas">;
    /** The number of pipelines that serve each version. */
    readonly counts: ReadonlyMap<string, number> | undefined;
    /** The versions that an adapter fits, when the request names one. */
    readonly adapterVersions: readonly string[] | undefined;
    readonly random: Random;
}

/**
 * The versions that may serve a request, in the order in which they are to be tried.
 *
 * While a new version replaces an old one, each request goes to one of the versions with pipelines, in proportion to
 * their number, so that no pipeline gets more than its part. Once the current version has as many as it is to have, it
 * comes first. The others follow for a request that finds no chain; the current version is always among those tried.
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
    const ranked = [isComplete ? current : draw(serving, counts, random), ...serving];
    return [...new Set(fitting.includes(current) ? [...ranked, current] : ranked)];
}

function draw(versions: readonly string[], counts: VersionOptions["counts"], random: Random): string {
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
