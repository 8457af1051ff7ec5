import { type HistoryLine } from "../../HistoryEvent.js";
import { type LineReference, referenceTo } from "../Findings.js";
import { keyOf } from "../Recordings.js";
import { addTo, getOrCreate, type Rule } from "../Rule.js";

/** A call that was passed to a service. @internal */
export interface ServiceRun {
    readonly request: string;
    readonly service: string;
    readonly key: string | undefined;
    readonly line: LineReference;
}

/** A call that a service carried out. @internal */
export interface ServiceEffect {
    readonly service: string;
    readonly line: LineReference;
}

/** The model work of one request. @internal */
export interface ModelWork {
    readonly line: LineReference;
    /** The first line of each incarnation that ran layer 0. */
    readonly heads: Map<string, LineReference>;
}

/**
 * What ran for which request and key.
 *
 * @internal
 */
export class WorkIndex implements Rule {
    readonly models = new Map<string, ModelWork>();
    readonly runsByRequest = new Map<string, ServiceRun[]>();
    readonly runsByKey = new Map<string, ServiceRun[]>();
    readonly effectsByKey = new Map<string, ServiceEffect[]>();

    take(line: HistoryLine): void {
        const { body } = line;
        const reference = referenceTo(line);
        switch (body.event) {
            case "layers.run": {
                const work = getOrCreate(this.models, body.request, () => ({ line: reference, heads: new Map() }));
                if (body.first === 0) {
                    getOrCreate(work.heads, keyOf(line), () => reference);
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
        // The index only serves the rules.
    }
}
