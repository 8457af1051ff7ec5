import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { type Rule } from "../Rule.js";
import { type WorkIndex } from "./WorkIndex.js";

/**
 * A request whose caller was told "not run" ran no layer, was passed to no service and had no effect there.
 *
 * @internal
 */
export class NotRunRule implements Rule {
    /** What callers were told, by what they set as `X-Request-Id`. */
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
            const requests = this.index.byCaller.get(caller) ?? [];
            requests.forEach(request => refused.set(request, line));
            if (requests.length === 0) {
                // No entry knows of it: it never arrived, or the history of the entry is lost.
                findings.decide("not-run", [], recordings.isWholeButForAgents());
            }
        }
        for (const [request, line] of refused) {
            const found = this.findWork(request, line);
            const effects = this.findEffects(request, line, refused);
            // Lost lines of an entry may hold another request with the key, to which the effect belongs.
            const attributable = effects.length === 0 || recordings.isWholeButForAgents();
            const decidable = attributable && this.index.isDecidable(request, recordings);
            findings.decide("not-run", attributable ? [...found, ...effects] : found, decidable);
        }
    }

    private findWork(request: string, told: LineReference): Finding[] {
        const found: Finding[] = [];
        const model = this.work.models.get(request);
        if (model !== undefined) {
            found.push(findingOf(request, told, "layers ran", model.line));
        }
        for (const { service, line } of this.work.runsByRequest.get(request) ?? []) {
            found.push(findingOf(request, told, `service ${service} was called`, line));
        }
        return found;
    }

    /** Finds effects under the key of a request. They may belong to another request, unless all were refused. */
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
        return effects.map(({ service, line }) => findingOf(request, told, `service ${service} acted`, line));
    }
}

function findingOf(request: string, told: LineReference, what: string, line: LineReference): Finding {
    return { request, message: `the caller was told "not run", but ${what}`, lines: [told, line] };
}
