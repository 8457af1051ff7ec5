import { type HistoryLine } from "../../../HistoryEvent.js";
import { type Finding, type LineReference, referenceTo } from "../../Findings.js";
import { keyOf } from "../../Recordings.js";
import { type EventOf } from "../../Rule.js";
import { findFaults, type LayerFaults } from "./coverage.js";
import { Lane, type Reuse } from "./Lane.js";

/** Tokens of one attempt that reached the caller. @internal */
export interface Delivery {
    /** The answer position after the last one delivered. */
    end: number;
    line: LineReference;
}

/**
 * The layers that ran in one attempt of one request.
 *
 * @internal
 */
export class Attempt {
    readonly lanes: Lane[] = [];
    readonly reuses: Reuse[] = [];
    /** Faults that are certain whatever else is lost. */
    readonly faults: Finding[] = [];
    /** The model versions used, each with a line that shows it. */
    readonly versions = new Map<string, LineReference>();
    delivery: Delivery | undefined;

    constructor(private readonly request: string, private readonly epoch: number) {}

    run(body: EventOf<"layers.run">, line: HistoryLine): void {
        const reference = referenceTo(line);
        this.versions.set(body.version, this.versions.get(body.version) ?? reference);
        const lane = this.laneOf(body, line);
        const previous = lane.lastLine;
        const span = { from: body.position, to: body.position + body.count };
        const fault = lane.add(span, reference);
        if (fault !== undefined) {
            const message = `layers ${body.first} to ${body.last} ran ${fault} at positions ${span.from} to ${
                span.to - 1
            }`;
            this.fault(message, [previous, reference]);
        }
        this.checkLayerOrder(lane, span.from, reference);
    }

    reuse(body: EventOf<"layers.reused">, line: HistoryLine): void {
        const reference = referenceTo(line);
        if (body.version !== undefined) {
            this.versions.set(body.version, this.versions.get(body.version) ?? reference);
        }
        this.reuses.push({
            target: body.target,
            first: body.first,
            last: body.last,
            count: body.count,
            line: reference,
        });
    }

    deliver(body: EventOf<"tokens.sent">, line: HistoryLine): void {
        if (body.ids.length === 0) {
            return;
        }
        const end = body.position + body.ids.length;
        if (this.delivery === undefined || end > this.delivery.end) {
            this.delivery = { end, line: referenceTo(line) };
        }
    }

    /**
     * Compares what ran with what had to run.
     *
     * @param layers - How many layers the model has; undefined when not known.
     * @param positions - How many leading positions every layer had to run on.
     */
    compare(layers: number | undefined, positions: number): LayerFaults {
        return findFaults(this.lanes, this.reuses, layers, positions);
    }

    /** The lines that show what a target, or any, did in this attempt. */
    linesOf(targets: readonly string[]): LineReference[] {
        const lanes = this.lanes.filter(lane => targets.length === 0 || targets.includes(lane.target));
        return lanes.flatMap(lane => [lane.firstLine, lane.lastLine]);
    }

    fault(message: string, lines: readonly LineReference[]): void {
        this.faults.push({ request: this.request, message: `epoch ${this.epoch}: ${message}`, lines });
    }

    private laneOf(body: EventOf<"layers.run">, line: HistoryLine): Lane {
        const recording = keyOf(line);
        const known = this.lanes.find(lane =>
            lane.recording === recording && lane.target === body.target && lane.first === body.first
            && lane.last === body.last
        );
        if (known !== undefined) {
            return known;
        }
        const lane = new Lane(recording, body.target, body.first, body.last, referenceTo(line));
        this.lanes.push(lane);
        return lane;
    }

    /** Where one process ran several ranges, the lower layers must have gone first at each position. */
    private checkLayerOrder(lane: Lane, from: number, line: LineReference): void {
        for (const upper of this.lanes) {
            const after = upper.recording === lane.recording && lane.last < upper.first;
            if (after && upper.to > from) {
                const message =
                    `layers ${upper.first} to ${upper.last} ran before layers ${lane.first} to ${lane.last}`;
                this.fault(`${message} at position ${from}`, [upper.lastLine, line]);
            }
        }
    }
}
