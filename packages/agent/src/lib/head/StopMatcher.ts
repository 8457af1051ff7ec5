/** A token with the text that the caller gets for it. @internal */
export interface AnswerToken {
    readonly id: number;
    readonly text: string;
}

/** @internal */
export interface StopResult {
    /** Tokens whose text cannot become part of a stop string any more, in order. */
    readonly released: readonly AnswerToken[];
    /** True when a stop string was found; `released` then ends before it. */
    readonly stopped: boolean;
    /** Text before the stop string that belongs to the token in which it begins; that token is not released. */
    readonly rest: string;
}

/**
 * Looks for stop strings in the text of an answer. It holds back tokens while their text may be the beginning of one, so
 * that no part of a stop string reaches the caller. No token with a part of one is released ever: an attempt that resumes
 * behind the released tokens meets the whole stop string again.
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
        return { released: this.release(this.text.length - this.longestBeginning()), stopped: false, rest: "" };
    }

    /** Gives out what is held, when the answer ends otherwise. */
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

    /** The length of the longest end of the text with which a stop string begins. */
    private longestBeginning(): number {
        const longest = Math.max(...this.stops.map(stop => stop.length - 1));
        for (let length = Math.min(longest, this.text.length); length > 0; length--) {
            const end = this.text.slice(this.text.length - length);
            if (this.stops.some(stop => stop.startsWith(end))) {
                return length;
            }
        }
        return 0;
    }

    /** Releases the leading tokens that lie before an index of the text as a whole. */
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

    /** Releases the tokens that lie before an index, and the rest of the text before it. */
    private cutAt(index: number): Pick<StopResult, "released" | "rest"> {
        const before = this.text.slice(0, index);
        const released = this.release(index);
        const length = released.reduce((sum, { text }) => sum + text.length, 0);
        this.held = [];
        this.text = "";
        return { released, rest: before.slice(length) };
    }
}
