import { type HistoryLine } from "../../../HistoryEvent.js";
import { type Finding, type LineReference, referenceTo } from "../../Findings.js";
import { getIncarnationKey } from "../../Recordings.js";
import { type EventOf } from "../../Rule.js";
import { findFaults, type LayerFaults } from "./coverage.js";
import { LayerRun, type Reuse } from "./LayerRun.js";

/** The tokens that one attempt delivered to the caller. @internal */
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
    readonly layerRuns: LayerRun[] = [];
    readonly reuses: Reuse[] = [];
    /** Violations that hold regardless of lost lines. */
    readonly faults: Finding[] = [];
    /** The model versions used, each with the first line that shows it. */
    readonly versions = new Map<string, LineReference>();
    delivery: Delivery | undefined;

    constructor(private readonly request: string, private readonly epoch: number) {}

    run(body: EventOf<"layers.run">, line: HistoryLine): void {
        const reference = referenceTo(line);
        this.versions.set(body.version, this.versions.get(body.version) ?? reference);
        const layerRun = this.getLayerRun(body, line);
        const previous = layerRun.lastLine;
        const span = { from: body.position, to: body.position + body.count };
        const fault = layerRun.add(span, reference);
        if (fault !== undefined) {
            const message = `layers ${body.first} to ${body.last} ran ${fault} at positions ${span.from} to ${
                span.to - 1
            }`;
            this.fault(message, [previous, reference]);
        }
        this.checkLayerOrder(layerRun, span.from, reference);
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
     * Compares the layers that ran with those that had to run.
     *
     * @param layers - Number of layers of the model; undefined if not known.
     * @param positions - Number of leading positions that every layer had to run on.
     */
    compare(layers: number | undefined, positions: number): LayerFaults {
        return findFaults(this.layerRuns, this.reuses, layers, positions);
    }

    /** Returns the first and last lines of the work of the given targets in this attempt; of all targets if empty. */
    getLines(targets: readonly string[]): LineReference[] {
        const layerRuns = this.layerRuns.filter(layerRun => targets.length === 0 || targets.includes(layerRun.target));
        return layerRuns.flatMap(layerRun => [layerRun.firstLine, layerRun.lastLine]);
    }

    fault(message: string, lines: readonly LineReference[]): void {
        this.faults.push({ request: this.request, message: `epoch ${this.epoch}: ${message}`, lines });
    }

    private getLayerRun(body: EventOf<"layers.run">, line: HistoryLine): LayerRun {
        const recording = getIncarnationKey(line);
        const known = this.layerRuns.find(layerRun =>
            layerRun.recording === recording && layerRun.target === body.target && layerRun.first === body.first
            && layerRun.last === body.last
        );
        if (known !== undefined) {
            return known;
        }
        const layerRun = new LayerRun(recording, body.target, body.first, body.last, referenceTo(line));
        this.layerRuns.push(layerRun);
        return layerRun;
    }

    /** If one process ran several layer ranges, the lower layers must run first at each position. */
    private checkLayerOrder(layerRun: LayerRun, from: number, line: LineReference): void {
        for (const upper of this.layerRuns) {
            const after = upper.recording === layerRun.recording && layerRun.last < upper.first;
            if (after && upper.to > from) {
                const message =
                    `layers ${upper.first} to ${upper.last} ran before layers ${layerRun.first} to ${layerRun.last}`;
                this.fault(`${message} at position ${from}`, [upper.lastLine, line]);
            }
        }
    }
}
