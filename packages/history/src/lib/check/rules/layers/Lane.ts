import { type LineReference } from "../../Findings.js";

/** Positions from `from` (included) to `to` (excluded). @internal */
export interface Span {
    readonly from: number;
    readonly to: number;
}

/** KV cache that a stage took over instead of computing it. @internal */
export interface Reuse {
    readonly target: string;
    readonly first: number;
    readonly last: number;
    /** How many leading positions. */
    readonly count: number;
    readonly line: LineReference;
}

/**
 * What one incarnation ran of one range of layers in one attempt. Since positions come in order, a handful of spans
 * stands for any number of lines.
 *
 * @internal
 */
export class Lane {
    readonly spans: Span[] = [];
    readonly firstLine: LineReference;
    lastLine: LineReference;

    constructor(
        /** Names the incarnation. */
        readonly recording: string,
        readonly target: string,
        readonly first: number,
        readonly last: number,
        line: LineReference,
    ) {
        this.firstLine = line;
        this.lastLine = line;
    }

    /** The first position, or Infinity when nothing ran. */
    get from(): number {
        return this.spans[0]?.from ?? Infinity;
    }

    /** The position after the last. */
    get to(): number {
        return this.spans.at(-1)?.to ?? 0;
    }

    /**
     * Adds positions.
     *
     * @returns What is wrong with them, if anything.
     */
    add(span: Span, line: LineReference): "twice" | "out of order" | undefined {
        this.lastLine = line;
        if (this.spans.some(known => known.from < span.to && span.from < known.to)) {
            return "twice";
        }
        if (span.from < this.to) {
            this.spans.push(span);
            this.spans.sort((a, b) => a.from - b.from);
            return "out of order";
        }
        const last = this.spans.at(-1);
        if (last?.to === span.from) {
            this.spans[this.spans.length - 1] = { from: last.from, to: span.to };
        }
        else {
            this.spans.push(span);
        }
        return undefined;
    }
}
