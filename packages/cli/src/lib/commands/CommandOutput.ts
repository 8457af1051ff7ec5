/**
 * Standard output and standard error of a command.
 *
 * @internal
 */
export interface CommandOutput {
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
}
