import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Agent } from "./Agent.js";
import { orderMethodName } from "./control/OrderGate.js";
import { exportMethodName } from "./kv/exportMethod.js";
import { stateMethodName } from "./stage/stateMethod.js";

/** The names of the deferred JSON-RPC methods. */
const methodNames = [exportMethodName, orderMethodName, stateMethodName];

/**
 * Creates the JSON-RPC methods of an agent that does not exist yet. They resolve the circular dependency between a link
 * pool, which needs the methods when it is created, and the agent, which needs the pool.
 *
 * @param agent - Returns the agent, or undefined until it is created; calls are then refused as not run.
 * @public
 */
export function createDeferredMethods(agent: () => Agent | undefined): Readonly<Record<string, RpcMethod>> {
    const createDeferredMethod = (name: string): RpcMethod => async (params, link) => {
        const method = agent()?.methods[name];
        return method === undefined
            ? Result.err(failure(requestCodes.noCapacity, "the agent has not started yet"))
            : method(params, link);
    };
    return Object.fromEntries(methodNames.map(name => [name, createDeferredMethod(name)]));
}
