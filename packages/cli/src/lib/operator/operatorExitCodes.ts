/**
 * Exit codes of the operators' verbs.
 *
 * @public
 */
export const operatorExitCodes = {
    /** Success; for `diff`, nothing differs; for `status`, everything is in force. */
    done: 0,
    /** The API refused the request, or for `status`, something is not in force yet. */
    refused: 1,
    /** The command line or a file is invalid; nothing was sent. */
    usage: 2,
    /** `diff` found differences. */
    differs: 3,
    /** A resource changed since it was read. */
    conflict: 4,
    /** The API could not be reached, or the outcome of a change is unknown. */
    unknown: 5,
} as const;
