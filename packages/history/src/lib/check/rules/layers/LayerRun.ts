import { type LineReference } from "../../Findings.js";

/** Positions from `from` (included) to `to` (excluded). @internal */
export interface Span {
    readonly from: number;
    readonly to: number;
}

/** KV cache that a stage reused instead of computing it. @internal */
export interface Reuse {
    readonly target: string;
    readonly first: number;
    readonly last: number;
    /** Number of leading positions. */
    readonly count: number;
    readonly line: LineReference;
}

/**
 * The positions on which one incarnation ran one range of layers in one attempt. Adjacent positions are merged; since
 * positions arrive in ascending order, a few spans cover any number of lines.
 *
 * @internal
 */
export class LayerRun {
    readonly spans: Span[] = [];
    readonly firstLine: LineReference;
    lastLine: LineReference;

    constructor(
        /** Key of the incarnation. */
        readonly recording: string,
        readonly target: string,
        readonly first: number,
        readonly last: number,
        line: LineReference,
    ) {
        this.firstLine = line;
        this.lastLine = line;
    }

    /** The first position, or Infinity if nothing ran. */
    get from(): number {
        return this.spans[0]?.from ?? Infinity;
    }

    /** The position after the last one. */
    get to(): number {
        return this.spans.at(-1)?.to ?? 0;
    }

    /**
     * Adds positions.
     *
     * @returns What is wrong with the positions; undefined if nothing is.
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
