import { type RoutedAttempt, type Router } from "@waxwingspar/policy";
import { type Outcome, requestCodes } from "@waxwingspar/utils";
import { forVersion, type ModelRequest } from "../models/ModelRequest.js";
import { type ModelVersions } from "./ModelVersions.js";

/** @internal */
export interface ChainChoice {
    readonly router: Router;
    readonly versions: Pick<ModelVersions, "rank">;
    readonly request: ModelRequest;
    readonly exclude: ReadonlySet<string>;
    /** The only target allowed as the head, if a claim has bound the request to it. */
    readonly head: string | undefined;
    /** False once results of another version could be mixed with what has already been computed. */
    readonly mayChangeVersion: boolean;
}

/** @internal */
export interface ChosenChain {
    readonly routed: RoutedAttempt;
    /** The request, adapted to the version whose targets were chosen. */
    readonly request: ModelRequest;
}

/**
 * Chooses a chain of the request's version or, if none is available, of another version that serves requests.
 *
 * @returns The chain, or the failure for the request's own version if no version has a chain.
 * @internal
 */
export function chooseChain(choice: ChainChoice): Outcome<ChosenChain> {
    const { request, versions, mayChangeVersion } = choice;
    const chosen = chooseFor(choice, request);
    if (chosen.isOk || chosen.error.code !== requestCodes.noCapacity || !mayChangeVersion) {
        return chosen;
    }
    const { model, adapter, version } = request;
    for (const other of versions.rank(model, adapter).filter(name => name !== version)) {
        const found = chooseFor(choice, forVersion(request, other));
        if (found.isOk) {
            return found;
        }
    }
    return chosen;
}

function chooseFor({ router, exclude, head }: ChainChoice, request: ModelRequest): Outcome<ChosenChain> {
    const { model, version, layers, activationBytes, prefix } = request;
    return router.choose({ model, version, layers, activationBytes, prefix, exclude, head })
        .map(routed => ({ routed, request }));
}
