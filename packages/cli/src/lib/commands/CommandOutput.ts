/**
 * Where a command writes for people.
 *
 * @internal
 */
export interface CommandOutput {
    readonly write: (text: string) => void;
    readonly writeError: (text: string) => void;
}
