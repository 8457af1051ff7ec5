import { type Progress } from "../distribution/ProgressCollector.js";
import { type Resource } from "../resources/Resource.js";
import { hideSecrets } from "../store/diffFields.js";

const maxNames = 10;

/**
 * The rollout status of the current spec of a resource.
 *
 * @public
 */
export interface ResourceStatus {
    /** The revision that accepted the spec. */
    readonly acceptedRevision: number;
    /** True once all known processes have the spec in force. */
    readonly inForce: boolean;
    readonly hostsBehind: {
        readonly count: number;
        /** The first of these processes. */
        readonly names: readonly string[];
    };
}

/**
 * Derives the status of a resource from the progress of the newest revision.
 *
 * @internal
 */
export function resourceStatus({ resourceVersion }: Resource, progress: Progress): ResourceStatus {
    const behind = progress.behind.filter(({ revision }) => revision === undefined || revision < resourceVersion);
    const unnamed = progress.behindCount - progress.behind.length;
    const count = behind.length
        + (resourceVersion <= progress.revision ? unnamed : progress.hosts - progress.behindCount);
    const names = behind.slice(0, maxNames).map(one => one.process);
    return { acceptedRevision: resourceVersion, inForce: count === 0, hostsBehind: { count, names } };
}

/** The representation of a resource in responses, with secrets hidden. @internal */
export function showResource(resource: Resource, progress?: Progress) {
    const { kind, name, resourceVersion, spec } = resource;
    const shown = { kind, name, resourceVersion, spec: hideSecrets(spec) };
    return progress === undefined ? shown : { ...shown, status: resourceStatus(resource, progress) };
}
