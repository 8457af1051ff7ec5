/** Exit codes of the command. @internal */
export const exitCodes = {
    /** The command succeeded. */
    done: 0,
    /** A check failed, or the process could not run. */
    failed: 1,
    /** The command line or a settings file is invalid; nothing was started. */
    usage: 2,
} as const;
