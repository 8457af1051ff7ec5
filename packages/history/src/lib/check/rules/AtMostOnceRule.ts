import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { addTo, type Rule } from "../Rule.js";
import { type WorkIndex } from "./WorkIndex.js";

/**
 * A request that is not idempotent runs at most once for its key, even if it is received several times: at most one
 * call and one effect in each service, and at most one model request with one head.
 *
 * @internal
 */
export class AtMostOnceRule implements Rule {
    /** Keys of requests that callers marked as not idempotent. */
    private readonly callerKeys = new Set<string>();

    constructor(private readonly index: RequestIndex, private readonly work: WorkIndex) {}

    take({ body }: HistoryLine): void {
        if (body.event === "caller.sent" && !body.idempotent && body.key !== undefined) {
            this.callerKeys.add(body.key);
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        const keys = new Map<string, string[]>();
        this.callerKeys.forEach(key => keys.set(key, []));
        for (const [request, { received }] of this.index.requests) {
            if (received?.idempotent !== false) {
                continue;
            }
            if (received.key === undefined) {
                const decidable = this.index.isDecidable(request, recordings);
                findings.addCase("at-most-once", this.findRepeats([request]), decidable);
            }
            else {
                addTo(keys, received.key, request);
            }
        }
        for (const [key, requests] of keys) {
            const found = [...this.findRepeats(requests), ...this.findEffects(key, requests)];
            const decidable = requests.length === 0
                ? recordings.areAllComplete()
                : requests.every(request => this.index.isDecidable(request, recordings));
            findings.addCase("at-most-once", found, decidable);
        }
    }

    /** Finds work that ran more than once among requests with the same key. */
    private findRepeats(requests: readonly string[]): Finding[] {
        const found: Finding[] = [];
        const [request] = requests;
        const ran = requests.filter(name => this.work.modelWork.has(name));
        if (ran.length > 1) {
            const lines = ran.flatMap(name => this.work.modelWork.get(name)?.line ?? []);
            found.push({ request, message: `requests ${ran.join(" and ")} with the same key ran layers`, lines });
        }
        for (const name of ran) {
            const lines = [...this.work.modelWork.get(name)?.heads.values() ?? []];
            if (lines.length > 1) {
                const message = `${lines.length} heads ran a request that is not idempotent`;
                found.push({ request: name, message, lines });
            }
        }
        const runs = requests.flatMap(name => this.work.runsByRequest.get(name) ?? []);
        return [...found, ...findRepeated(runs, runs[0]?.request, "was called")];
    }

    private findEffects(key: string, requests: readonly string[]): Finding[] {
        const runner = this.work.runsByKey.get(key)?.[0]?.request ?? requests[0];
        return findRepeated(this.work.effectsByKey.get(key) ?? [], runner, "executed a call");
    }
}

function findRepeated(
    items: readonly { readonly service: string; readonly line: LineReference; }[],
    request: string | undefined,
    what: string,
): Finding[] {
    const services = new Map<string, LineReference[]>();
    items.forEach(({ service, line }) => addTo(services, service, line));
    return [...services].filter(([, lines]) => lines.length > 1).map(([service, lines]) => ({
        request,
        message: `service ${service} ${what} ${lines.length} times for one key`,
        lines,
    }));
}
