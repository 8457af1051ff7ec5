import { type Failure, failure, type ResultCode } from "@waxwingspar/utils";
import { type Configuration } from "../Configuration.js";
import { type Kind, type Resource } from "../resources/Resource.js";

/**
 * A failure with the invalid resource, as `kind/name`, and the field, as a dotted path.
 *
 * @public
 */
export interface ResourceFailure extends Failure {
    readonly resource: string;
}

/** Read access to the resources that a rule checks against. @internal */
export type ResourceView = Pick<Configuration, "get" | "list">;

/** Checks a resource against the other resources. @internal */
export type Rule<K extends Kind> = (resource: Resource<K>, view: ResourceView) => Failure[];

/** A failure of one field. @internal */
export function fieldFailure(code: ResultCode, path: string, message: string): Failure {
    return failure(code, message, { path });
}

/** Adds the invalid resource to failures. @internal */
export function withResource(failures: readonly Failure[], resource: string): ResourceFailure[] {
    return failures.map(one => ({ ...one, resource }));
}
