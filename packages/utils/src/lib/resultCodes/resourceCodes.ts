import { type ResultCode } from "./ResultCode.js";

/**
 * Results of operators' requests and of the validation of settings: 3000 to 3999.
 *
 * @public
 */
export const resourceCodes = {
    invalidSyntax: {
        number: 3000,
        name: "invalid-syntax",
        execution: "not run",
        status: 400,
        retry: "no",
        summary: "The text is not JSON with comments.",
    },
    invalidField: {
        number: 3001,
        name: "invalid-field",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "A field has the wrong type or value.",
    },
    unknownField: {
        number: 3002,
        name: "unknown-field",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "A field is not part of the schema.",
    },
    missingReference: {
        number: 3003,
        name: "missing-reference",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "A field names a resource that does not exist.",
    },
    layerGap: {
        number: 3004,
        name: "layer-gap",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "Layer ranges leave a gap.",
    },
    layerOverlap: {
        number: 3005,
        name: "layer-overlap",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "Layer ranges overlap within one pipeline.",
    },
    insufficientCapacity: {
        number: 3006,
        name: "insufficient-capacity",
        execution: "not run",
        status: 422,
        retry: "no",
        summary: "The declared targets cannot hold what is asked.",
    },
    conflict: {
        number: 3007,
        name: "conflict",
        execution: "not run",
        status: 409,
        retry: "no",
        summary: "The resource changed since it was read.",
    },
    noSuchResource: {
        number: 3008,
        name: "no-such-resource",
        execution: "not run",
        status: 404,
        retry: "no",
        summary: "No resource has this kind and name.",
    },
    stillReferenced: {
        number: 3009,
        name: "still-referenced",
        execution: "not run",
        status: 409,
        retry: "no",
        summary: "Other resources still refer to this one.",
    },
    revisionGone: {
        number: 3010,
        name: "revision-gone",
        execution: "not run",
        status: 410,
        retry: "no",
        summary: "The revision asked for is older than the log.",
    },
    invalidSettings: {
        number: 3020,
        name: "invalid-settings",
        execution: "not run",
        status: 400,
        retry: "no",
        summary: "A settings file fails its schema.",
    },
} as const satisfies Record<string, ResultCode>;
