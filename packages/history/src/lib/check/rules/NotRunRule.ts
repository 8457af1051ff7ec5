import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { type Rule } from "../Rule.js";
import { type WorkIndex } from "./WorkIndex.js";

/**
 * A request that ended with the outcome "not run" ran no layer, was forwarded to no service and had no effect there.
 *
 * @internal
 */
export class NotRunRule implements Rule {
    /** Lines in which a caller recorded the outcome "not run", by the caller's `X-Request-Id`. */
    private readonly told = new Map<string, LineReference>();

    constructor(private readonly index: RequestIndex, private readonly work: WorkIndex) {}

    take(line: HistoryLine): void {
        const { body } = line;
        if (body.event === "caller.ended" && body.outcome === "not run") {
            this.told.set(body.callerRequest, referenceTo(line));
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        const refused = new Map<string, LineReference>();
        for (const [request, { ended }] of this.index.requests) {
            if (ended?.event.outcome === "not run") {
                refused.set(request, ended.line);
            }
        }
        for (const [caller, line] of this.told) {
            const requests = this.index.byCallerRequest.get(caller) ?? [];
            requests.forEach(request => refused.set(request, line));
            if (requests.length === 0) {
                // No entry recorded the request: it never arrived, or the history of the entry is lost.
                findings.addCase("not-run", [], recordings.areNonAgentsComplete());
            }
        }
        for (const [request, line] of refused) {
            const found = this.findWork(request, line);
            const effects = this.findEffects(request, line, refused);
            // The effect may belong to another request with the same key, recorded in lost lines of an entry.
            const attributable = effects.length === 0 || recordings.areNonAgentsComplete();
            const decidable = attributable && this.index.isDecidable(request, recordings);
            findings.addCase("not-run", attributable ? [...found, ...effects] : found, decidable);
        }
    }

    private findWork(request: string, told: LineReference): Finding[] {
        const found: Finding[] = [];
        const model = this.work.modelWork.get(request);
        if (model !== undefined) {
            found.push(createFinding(request, told, "layers ran", model.line));
        }
        for (const { service, line } of this.work.runsByRequest.get(request) ?? []) {
            found.push(createFinding(request, told, `service ${service} was called`, line));
        }
        return found;
    }

    /** Finds effects of the key of a request. They are violations only if all requests with this key were refused. */
    private findEffects(
        request: string,
        told: LineReference,
        refused: ReadonlyMap<string, LineReference>,
    ): Finding[] {
        const key = this.index.requests.get(request)?.received?.key;
        if (key === undefined || !(this.index.byKey.get(key) ?? []).every(sharing => refused.has(sharing))) {
            return [];
        }
        const effects = this.work.effectsByKey.get(key) ?? [];
        return effects.map(({ service, line }) =>
            createFinding(request, told, `service ${service} executed a call`, line)
        );
    }
}

function createFinding(request: string, told: LineReference, what: string, line: LineReference): Finding {
    return { request, message: `the request ended as "not run", but ${what}`, lines: [told, line] };
}
