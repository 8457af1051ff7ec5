import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { type EventOf, getOrCreate, type Rule } from "../Rule.js";
import { Attempt } from "./layers/Attempt.js";
import { type Area } from "./layers/coverage.js";

interface Prompt {
    readonly tokens: number;
    readonly layers: number;
    readonly line: LineReference;
}

interface RequestLayers {
    readonly attempts: Map<number, Attempt>;
    prompt?: Prompt;
    promptFault?: Finding;
}

/**
 * For every token delivered, every layer ran exactly once, in order, on every position before it, within the attempt
 * that delivered it and on one model version; and nothing runs twice within an attempt. A duplicate of a request that is
 * not idempotent runs nothing itself; what it delivers, another request with its key must have computed.
 *
 * @internal
 */
export class LayerRule implements Rule {
    private readonly requests = new Map<string, RequestLayers>();

    constructor(private readonly index: RequestIndex) {}

    take(line: HistoryLine): void {
        const { body } = line;
        switch (body.event) {
            case "layers.run":
                this.attemptOf(body.request, body.epoch).run(body, line);
                return;
            case "layers.reused":
                this.attemptOf(body.request, body.epoch).reuse(body, line);
                return;
            case "tokens.sent":
                this.attemptOf(body.request, body.epoch).deliver(body, line);
                return;
            case "prompt.read":
                this.takePrompt(body, line);
                return;
            default:
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const [request, layers] of this.requests) {
            if (this.isFollower(request, layers)) {
                this.decideFollower(request, layers, recordings, findings);
                continue;
            }
            for (const [epoch, attempt] of layers.attempts) {
                this.decideAttempt(request, epoch, attempt, layers, recordings, findings);
            }
            const faults = [layers.promptFault, versionFault(request, layers)].filter(fault => fault !== undefined);
            faults.forEach(fault => findings.violate("layers", fault));
        }
    }

    private attemptOf(request: string, epoch: number): Attempt {
        const { attempts } = this.layersOf(request);
        return getOrCreate(attempts, epoch, () => new Attempt(request, epoch));
    }

    private layersOf(request: string): RequestLayers {
        return getOrCreate(this.requests, request, () => ({ attempts: new Map<number, Attempt>() }));
    }

    private takePrompt(body: EventOf<"prompt.read">, line: HistoryLine): void {
        const layers = this.layersOf(body.request);
        const prompt = { tokens: body.tokens, layers: body.layers, line: referenceTo(line) };
        const known = layers.prompt ?? prompt;
        layers.prompt = known;
        if (known.tokens !== prompt.tokens || known.layers !== prompt.layers) {
            layers.promptFault ??= {
                request: body.request,
                message: `the prompt had ${known.tokens} tokens and ${known.layers} layers, then ${prompt.tokens} and `
                    + `${prompt.layers}`,
                lines: [known.line, prompt.line],
            };
        }
    }

    /** Whether a request ran nothing itself, but may have been given the answer of another one with its key. */
    private isFollower(request: string, { attempts }: RequestLayers): boolean {
        const received = this.index.requests.get(request)?.received;
        const ran = [...attempts.values()].some(({ lanes, reuses }) => lanes.length + reuses.length > 0);
        return received?.idempotent === false && received.key !== undefined && !ran;
    }

    /** Decides whether an attempt of another request with the same key has computed all that was delivered. */
    private decideFollower(
        request: string,
        { attempts }: RequestLayers,
        recordings: Recordings,
        findings: Findings,
    ): void {
        const deliveries = [...attempts.values()].flatMap(({ delivery }) => delivery ?? []);
        const end = Math.max(0, ...deliveries.map(delivery => delivery.end));
        if (end === 0) {
            findings.pass("layers");
            return;
        }
        const key = this.index.requests.get(request)?.received?.key ?? "";
        const sharing = this.index.byKey.get(key) ?? [];
        if (sharing.some(name => hasComputed(this.requests.get(name), end))) {
            findings.pass("layers");
            return;
        }
        const message = `no request with this key ran all layers for the ${end} tokens delivered`;
        const finding = { request, message, lines: deliveries.map(({ line }) => line) };
        // The request that ran may be in the lost end of any entry, and its layers in that of its agents.
        const decidable = recordings.isWholeButForAgents()
            && sharing.every(name => this.index.isDecidable(name, recordings));
        findings.decide("layers", decidable ? [finding] : [], false);
    }

    private decideAttempt(
        request: string,
        epoch: number,
        attempt: Attempt,
        { prompt }: RequestLayers,
        recordings: Recordings,
        findings: Findings,
    ): void {
        const { delivery } = attempt;
        // The token at answer position p is drawn after sequence position prompt + p - 1.
        const positions = delivery === undefined || prompt === undefined ? 0 : prompt.tokens + delivery.end - 1;
        const { missing, twice, beyond } = attempt.compare(prompt?.layers, positions);
        const chain = this.index.requests.get(request)?.chains.get(epoch);
        const report = (area: Area, what: string) => {
            const message = `layers ${area.first} to ${area.last} ${what} at positions ${area.from} to ${area.to - 1}`;
            const delivered = delivery === undefined ? [] : [delivery.line];
            attempt.fault(message, [...attempt.linesOf(area.targets), ...delivered]);
        };
        twice.forEach(area => report(area, "ran twice"));
        beyond.forEach(area => report(area, "do not exist but ran"));
        let decidable = delivery === undefined || prompt !== undefined;
        for (const area of missing) {
            if (area.passedOver || isMissingForSure(area, attempt, chain, recordings)) {
                report(area, "did not run");
            }
            else {
                decidable = false;
            }
        }
        checkVersions(attempt);
        if (chain !== undefined && delivery !== undefined) {
            checkChainOrder(attempt, chain);
        }
        findings.decide("layers", attempt.faults, decidable);
    }
}

/** Whether one attempt of a request ran every layer that the first tokens of its answer need. */
function hasComputed(layers: RequestLayers | undefined, tokens: number): boolean {
    const prompt = layers?.prompt;
    if (layers === undefined || prompt === undefined) {
        return false;
    }
    const positions = prompt.tokens + tokens - 1;
    return [...layers.attempts.values()].some(attempt => (
        attempt.lanes.length > 0 && attempt.compare(prompt.layers, positions).missing.length === 0
    ));
}

/** Whether no lost line can hold the work that is missing. */
function isMissingForSure(
    area: Area,
    attempt: Attempt,
    chain: readonly string[] | undefined,
    recordings: Recordings,
): boolean {
    if (area.targets.length > 0) {
        return area.targets.every(target => recordings.isTargetWhole(target));
    }
    if (chain === undefined) {
        return recordings.isEverythingWhole();
    }
    const silent = chain.filter(target => !attempt.lanes.some(lane => lane.target === target));
    return silent.every(target => recordings.isTargetWhole(target));
}

function checkVersions(attempt: Attempt): void {
    if (attempt.versions.size > 1) {
        const names = [...attempt.versions.keys()].join(" and ");
        attempt.fault(`versions ${names} ran in one attempt`, [...attempt.versions.values()]);
    }
}

/** The chain of an attempt names its targets in the order of their layers. */
function checkChainOrder(attempt: Attempt, chain: readonly string[]): void {
    const lanes = [...attempt.lanes].sort((a, b) => a.first - b.first);
    const places = lanes.map(lane => chain.indexOf(lane.target));
    const wrong = places.findIndex((place, index) => place < (places[index - 1] ?? 0));
    const lane = lanes[wrong];
    if (lane !== undefined) {
        const message = `target ${lane.target} ran layers ${lane.first} to ${lane.last} against the order of its chain`;
        attempt.fault(message, [lane.firstLine]);
    }
}

/** All attempts that delivered tokens of one answer must have used the same version. */
function versionFault(request: string, { attempts }: RequestLayers): Finding | undefined {
    const versions = new Map<string, LineReference>();
    for (const attempt of attempts.values()) {
        const [first, ...more] = attempt.versions;
        if (attempt.delivery !== undefined && first !== undefined && more.length === 0) {
            versions.set(...first);
        }
    }
    if (versions.size < 2) {
        return undefined;
    }
    const names = [...versions.keys()].join(" and ");
    return { request, message: `versions ${names} delivered tokens of one answer`, lines: [...versions.values()] };
}
