import { type ResultCode } from "./ResultCode.js";

/**
 * Results of calls to the platform: 4000 to 4999.
 *
 * @public
 */
export const platformCodes = {
    storeUnavailable: {
        number: 4000,
        name: "store-unavailable",
        execution: "not run",
        status: 503,
        retry: "later",
        summary: "The platform's store refused the call or could not be reached before it was sent.",
    },
    storeUnknown: {
        number: 4001,
        name: "store-unknown",
        execution: "unknown",
        status: 503,
        retry: "later",
        summary: "The store's answer was lost; the write may have taken effect.",
    },
    conditionFailed: {
        number: 4002,
        name: "condition-failed",
        execution: "not run",
        status: 409,
        retry: "no",
        summary: "A condition of the transaction did not hold.",
    },
    budgetExhausted: {
        number: 4003,
        name: "budget-exhausted",
        execution: "not run",
        status: 503,
        retry: "later",
        summary: "The process has used up its share of the store's request rate.",
    },
    leaseLost: {
        number: 4004,
        name: "lease-lost",
        execution: "not run",
        status: 409,
        retry: "no",
        summary: "The lease has lapsed or is held by another process.",
    },
    staleFence: {
        number: 4005,
        name: "stale-fence",
        execution: "not run",
        status: 409,
        retry: "no",
        summary: "The order carries an older fencing token than one already seen.",
    },
    inUse: {
        number: 4006,
        name: "in-use",
        execution: "not run",
        status: 409,
        retry: "later",
        summary: "Requests are still running on the resource that the order would remove.",
    },
} as const satisfies Record<string, ResultCode>;
