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
            const found = this.findWork(request, line, refused);
            findings.decide("not-run", found, this.index.isDecidable(request, recordings));
        }
    }

    private findWork(request: string, told: LineReference, refused: ReadonlyMap<string, LineReference>): Finding[] {
        const found: Finding[] = [];
        const add = (what: string, line: LineReference) => {
            found.push({ request, message: `the caller was told "not run", but ${what}`, lines: [told, line] });
        };
        const model = this.work.models.get(request);
        if (model !== undefined) {
            add("layers ran", model.line);
        }
        this.work.runsByRequest.get(request)?.forEach(({ service, line }) =>
            add(`service ${service} was called`, line)
        );
        const key = this.index.requests.get(request)?.received?.key;
        // An effect under the key may belong to another request with the same key, unless all of them were refused.
        if (key !== undefined && (this.index.byKey.get(key) ?? []).every(sharing => refused.has(sharing))) {
            this.work.effectsByKey.get(key)?.forEach(({ service, line }) => add(`service ${service} acted`, line));
        }
        return found;
    }
}
