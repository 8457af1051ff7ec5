/**
 * How a call ended, as its caller sees it.
 *
 * - `completed`: the whole answer came.
 * - `refused`: the site gave a numbered code, at once or in mid-stream.
 * - `broken`: the answer broke off, or could not be read.
 * - `not connected`: no connection could be opened.
 * - `timed out`: the generator waited no longer.
 * - `not sent`: too many calls were open already.
 *
 * @public
 */
export interface CallEnd {
    readonly outcome: "completed" | "refused" | "broken" | "not connected" | "timed out" | "not sent";
    /** The number of the result code, for a call that was refused. */
    readonly code?: number;
    /** When each piece of a streamed text came, by the clock. */
    readonly pieceTimes: readonly number[];
    /** Tokens of the prompt and of the answer as the site counted them. */
    readonly promptTokens?: number;
    readonly answerTokens?: number;
}
