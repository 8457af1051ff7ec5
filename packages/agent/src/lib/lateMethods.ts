import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Agent } from "./Agent.js";
import { orderMethodName } from "./control/OrderGate.js";
import { exportMethodName } from "./kv/exportMethod.js";
import { stateMethodName } from "./stage/stateMethod.js";

/** The JSON-RPC methods of every agent. */
const methodNames = [exportMethodName, orderMethodName, stateMethodName];

/**
 * The methods of an agent that does not exist yet: a link pool takes its methods when it is made, and the agent takes
 * the pool.
 *
 * @param agent - Returns the agent, or undefined while there is none; calls are then refused as not run.
 * @public
 */
export function lateMethods(agent: () => Agent | undefined): Readonly<Record<string, RpcMethod>> {
    const late = (name: string): RpcMethod => async (params, link) => {
        const method = agent()?.methods[name];
        return method === undefined
            ? Result.err(failure(requestCodes.noCapacity, "the agent is not ready"))
            : method(params, link);
    };
    return Object.fromEntries(methodNames.map(name => [name, late(name)]));
}
