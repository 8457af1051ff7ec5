import { type Failure, failure, type ResultCode } from "@waxwingspar/utils";
import { type Configuration } from "../Configuration.js";
import { type Kind, type Resource } from "../resources/Resource.js";

/**
 * A failure that names the resource at fault, as `kind/name`, and the field, as a dotted path.
 *
 * @public
 */
export interface ResourceFailure extends Failure {
    readonly resource: string;
}

/** The resources that a rule may look at. @internal */
export type ResourceView = Pick<Configuration, "get" | "list">;

/** Checks one resource against the others. @internal */
export type Rule<K extends Kind> = (resource: Resource<K>, view: ResourceView) => Failure[];

/** A failure of one field. @internal */
export function fieldFailure(code: ResultCode, path: string, message: string): Failure {
    return failure(code, message, { path });
}

/** Names the resource at fault. @internal */
export function withResource(failures: readonly Failure[], resource: string): ResourceFailure[] {
    return failures.map(one => ({ ...one, resource }));
}
