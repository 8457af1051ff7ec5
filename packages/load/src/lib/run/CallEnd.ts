/**
 * The result of a call, as its caller sees it.
 *
 * - `completed`: the whole answer arrived.
 * - `refused`: the site sent an error with a result code, instead of an answer or in mid-stream.
 * - `broken`: the answer was truncated or could not be read.
 * - `not connected`: no connection could be opened.
 * - `timed out`: the answer did not end within the generator's timeout.
 * - `not sent`: the maximum number of calls was already in flight.
 *
 * @public
 */
export interface CallEnd {
    readonly outcome: "completed" | "refused" | "broken" | "not connected" | "timed out" | "not sent";
    /** The number of the result code of a refused call. */
    readonly code?: number;
    /** When each piece of a streamed text arrived, in milliseconds of the clock. */
    readonly pieceTimes: readonly number[];
    /** Tokens of the prompt, as counted by the site. */
    readonly promptTokens?: number;
    /** Tokens of the answer, as counted by the site. */
    readonly answerTokens?: number;
}
