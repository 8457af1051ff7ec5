/** A token of an answer and its text. @internal */
export interface AnswerToken {
    readonly id: number;
    readonly text: string;
}

/** @internal */
export interface StopResult {
    /** Tokens whose text can no longer be part of a stop string, in order. */
    readonly released: readonly AnswerToken[];
    /** True when a stop string was found; `released` then ends before it. */
    readonly stopped: boolean;
    /** The text before the stop string within the token that contains its start; that token is not released. */
    readonly rest: string;
}

/**
 * Finds stop strings in the text of an answer. Tokens are held back while their text may be the start of a stop string,
 * so that no part of one reaches the caller. A token that contains part of a stop string is never released, so an
 * attempt that resumes after the released tokens sees the whole stop string again.
 *
 * @internal
 */
export class StopMatcher {
    private held: AnswerToken[] = [];
    private text = "";
    private readonly stops: readonly string[];

    constructor(stops: readonly string[]) {
        this.stops = stops.filter(stop => stop.length > 0);
    }

    push(token: AnswerToken): StopResult {
        if (this.stops.length === 0) {
            return { released: [token], stopped: false, rest: "" };
        }
        this.held.push(token);
        this.text += token.text;
        const found = this.findStop();
        if (found !== undefined) {
            return { ...this.cutAt(found), stopped: true };
        }
        return { released: this.release(this.text.length - this.longestPartialMatch()), stopped: false, rest: "" };
    }

    /** Returns the tokens held back, for an answer that ends without a stop string. */
    flush(): readonly AnswerToken[] {
        const rest = this.held;
        this.held = [];
        this.text = "";
        return rest;
    }

    private findStop(): number | undefined {
        const found = this.stops.map(stop => this.text.indexOf(stop)).filter(index => index >= 0);
        return found.length === 0 ? undefined : Math.min(...found);
    }

    /** The length of the longest suffix of the text that is a proper prefix of a stop string. */
    private longestPartialMatch(): number {
        const longest = Math.max(...this.stops.map(stop => stop.length - 1));
        for (let length = Math.min(longest, this.text.length); length > 0; length--) {
            const end = this.text.slice(this.text.length - length);
            if (this.stops.some(stop => stop.startsWith(end))) {
                return length;
            }
        }
        return 0;
    }

    /** Releases the leading tokens that end at or before an index of the text. */
    private release(safe: number): AnswerToken[] {
        const released: AnswerToken[] = [];
        let length = 0;
        for (const token of this.held) {
            length += token.text.length;
            if (length > safe) {
                break;
            }
            released.push(token);
        }
        this.held.splice(0, released.length);
        this.text = this.held.map(token => token.text).join("");
        return released;
    }

    /** Releases the tokens that end at or before an index, and returns the remaining text before it as `rest`. */
    private cutAt(index: number): Pick<StopResult, "released" | "rest"> {
        const before = this.text.slice(0, index);
        const released = this.release(index);
        const length = released.reduce((sum, { text }) => sum + text.length, 0);
        this.held = [];
        this.text = "";
        return { released, rest: before.slice(length) };
    }
}
