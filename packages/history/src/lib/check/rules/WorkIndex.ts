import { type HistoryLine } from "../../HistoryEvent.js";
import { type LineReference, referenceTo } from "../Findings.js";
import { getIncarnationKey } from "../Recordings.js";
import { addTo, getOrCreate, type Rule } from "../Rule.js";

/** A call that was forwarded to a service. @internal */
export interface ServiceRun {
    readonly request: string;
    readonly service: string;
    readonly key: string | undefined;
    readonly line: LineReference;
}

/** A call that a service executed. @internal */
export interface ServiceEffect {
    readonly service: string;
    readonly line: LineReference;
}

/** The model work of one request. @internal */
export interface ModelWork {
    /** The first line of work for the request. */
    readonly line: LineReference;
    /** For each incarnation that ran layer 0: its first such line. */
    readonly heads: Map<string, LineReference>;
}

/**
 * Index of the work that ran, by request and by idempotency key.
 *
 * @internal
 */
export class WorkIndex implements Rule {
    readonly modelWork = new Map<string, ModelWork>();
    readonly runsByRequest = new Map<string, ServiceRun[]>();
    readonly runsByKey = new Map<string, ServiceRun[]>();
    readonly effectsByKey = new Map<string, ServiceEffect[]>();

    take(line: HistoryLine): void {
        const { body } = line;
        const reference = referenceTo(line);
        switch (body.event) {
            case "layers.run": {
                const work = getOrCreate(this.modelWork, body.request, () => ({ line: reference, heads: new Map() }));
                if (body.first === 0) {
                    getOrCreate(work.heads, getIncarnationKey(line), () => reference);
                }
                return;
            }
            case "service.run": {
                const run = { request: body.request, service: body.service, key: body.key, line: reference };
                addTo(this.runsByRequest, body.request, run);
                if (body.key !== undefined) {
                    addTo(this.runsByKey, body.key, run);
                }
                return;
            }
            case "service.effect":
                if (body.key !== undefined) {
                    addTo(this.effectsByKey, body.key, { service: body.service, line: reference });
                }
                return;
            default:
        }
    }

    decide(): void {
        // The index has no rule of its own; the rules read it.
    }
}
