import { type Configuration, type ModelSpec } from "@waxwingspar/config";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Caller } from "../callers/Authenticator.js";

/**
 * A model that the caller may use, and the requested adapter.
 *
 * @internal
 */
export interface ModelChoice {
    readonly name: string;
    readonly adapter: string | undefined;
    readonly spec: ModelSpec;
}

/**
 * Finds the model that a caller named.
 *
 * @param wanted - `name` or `name:adapter`.
 * @internal
 */
export function findModel(configuration: Configuration, caller: Caller, wanted: string): Outcome<ModelChoice> {
    const [name = "", adapter] = wanted.split(":", 2);
    const model = configuration.get("model", name);
    if (model === undefined) {
        return Result.err(noSuchModel(`no model is named ${name}`));
    }
    if (!mayUse(caller, name)) {
        return Result.err(failure(requestCodes.forbidden, `organisation ${caller.organisation} may not use ${name}`));
    }
    if (adapter !== undefined && configuration.get("adapter", adapter)?.spec.model !== name) {
        return Result.err(noSuchModel(`model ${name} has no adapter ${adapter}`));
    }
    return Result.ok({ name, adapter, spec: model.spec });
}

/** Whether a caller's organisation may use a model or service. @internal */
export function mayUse(caller: Caller, name: string): boolean {
    return caller.spec.allow?.includes(name) ?? true;
}

function noSuchModel(message: string): Failure {
    return failure(requestCodes.noSuchRoute, message, { path: "model" });
}
