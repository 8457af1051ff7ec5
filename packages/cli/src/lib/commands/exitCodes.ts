/** Exit codes of the command. @internal */
export const exitCodes = {
    /** Everything was done. */
    done: 0,
    /** Something that was to hold does not, or the process could not run. */
    failed: 1,
    /** The command line or a settings file is wrong; nothing was started. */
    usage: 2,
} as const;
