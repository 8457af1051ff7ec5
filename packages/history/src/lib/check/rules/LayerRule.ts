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
 * that delivered it and on one model version. No layer runs twice on a position within an attempt. A duplicate of a
 * request that is not idempotent may run nothing itself; another request with the same key must then have computed the
 * tokens that it delivers.
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
                this.getAttempt(body.request, body.epoch).run(body, line);
                return;
            case "layers.reused":
                this.getAttempt(body.request, body.epoch).reuse(body, line);
                return;
            case "tokens.sent":
                this.getAttempt(body.request, body.epoch).deliver(body, line);
                return;
            case "prompt.read":
                this.takePrompt(body, line);
                return;
            default:
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const [request, layers] of this.requests) {
            if (this.isServedDuplicate(request, layers)) {
                this.decideDuplicate(request, layers, recordings, findings);
                continue;
            }
            for (const [epoch, attempt] of layers.attempts) {
                this.decideAttempt(request, epoch, attempt, layers, recordings, findings);
            }
            const faults = [layers.promptFault, findVersionFault(request, layers)].filter(fault => fault !== undefined);
            faults.forEach(fault => findings.addViolation("layers", fault));
        }
    }

    private getAttempt(request: string, epoch: number): Attempt {
        const { attempts } = this.getLayers(request);
        return getOrCreate(attempts, epoch, () => new Attempt(request, epoch));
    }

    private getLayers(request: string): RequestLayers {
        return getOrCreate(this.requests, request, () => ({ attempts: new Map<number, Attempt>() }));
    }

    private takePrompt(body: EventOf<"prompt.read">, line: HistoryLine): void {
        const layers = this.getLayers(body.request);
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

    /** Whether a request ran nothing itself, but may have received the answer of another request with its key. */
    private isServedDuplicate(request: string, { attempts }: RequestLayers): boolean {
        const received = this.index.requests.get(request)?.received;
        const ran = [...attempts.values()].some(({ layerRuns, reuses }) => layerRuns.length + reuses.length > 0);
        return received?.idempotent === false && received.key !== undefined && !ran;
    }

    /** Checks that an attempt of another request with the same key computed all tokens delivered. */
    private decideDuplicate(
        request: string,
        { attempts }: RequestLayers,
        recordings: Recordings,
        findings: Findings,
    ): void {
        const deliveries = [...attempts.values()].flatMap(({ delivery }) => delivery ?? []);
        const end = Math.max(0, ...deliveries.map(delivery => delivery.end));
        if (end === 0) {
            findings.countPassed("layers");
            return;
        }
        const key = this.index.requests.get(request)?.received?.key ?? "";
        const sharing = this.index.byKey.get(key) ?? [];
        if (sharing.some(name => hasComputed(this.requests.get(name), end))) {
            findings.countPassed("layers");
            return;
        }
        const message = `no request with this key ran all layers for the ${end} tokens delivered`;
        const finding = { request, message, lines: deliveries.map(({ line }) => line) };
        // The request that ran may be in the lost lines of any entry, and its layers in the lost lines of its agents.
        const decidable = recordings.areNonAgentsComplete()
            && sharing.every(name => this.index.isDecidable(name, recordings));
        findings.addCase("layers", decidable ? [finding] : [], false);
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
        // The token at answer position p is sampled after sequence position prompt + p - 1 has run.
        const positions = delivery === undefined || prompt === undefined ? 0 : prompt.tokens + delivery.end - 1;
        const { missing, repeated, nonexistent } = attempt.compare(prompt?.layers, positions);
        const chain = this.index.requests.get(request)?.chains.get(epoch);
        const report = (area: Area, what: string) => {
            const message = `layers ${area.first} to ${area.last} ${what} at positions ${area.from} to ${area.to - 1}`;
            const delivered = delivery === undefined ? [] : [delivery.line];
            attempt.fault(message, [...attempt.getLines(area.targets), ...delivered]);
        };
        repeated.forEach(area => report(area, "ran twice"));
        nonexistent.forEach(area => report(area, "are not part of the model but ran"));
        let decidable = delivery === undefined || prompt !== undefined;
        for (const area of missing) {
            if (area.isSkipped || isCertainlyMissing(area, attempt, chain, recordings)) {
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
        findings.addCase("layers", attempt.faults, decidable);
    }
}

/** Whether one attempt of a request ran every layer needed for the first `tokens` tokens of its answer. */
function hasComputed(layers: RequestLayers | undefined, tokens: number): boolean {
    const prompt = layers?.prompt;
    if (layers === undefined || prompt === undefined) {
        return false;
    }
    const positions = prompt.tokens + tokens - 1;
    return [...layers.attempts.values()].some(attempt => (
        attempt.layerRuns.length > 0 && attempt.compare(prompt.layers, positions).missing.length === 0
    ));
}

/** Whether the missing work cannot be recorded in lost lines. */
function isCertainlyMissing(
    area: Area,
    attempt: Attempt,
    chain: readonly string[] | undefined,
    recordings: Recordings,
): boolean {
    if (area.targets.length > 0) {
        return area.targets.every(target => recordings.isTargetComplete(target));
    }
    if (chain === undefined) {
        return recordings.areAllComplete();
    }
    const idleTargets = chain.filter(target => !attempt.layerRuns.some(layerRun => layerRun.target === target));
    return idleTargets.every(target => recordings.isTargetComplete(target));
}

function checkVersions(attempt: Attempt): void {
    if (attempt.versions.size > 1) {
        const names = [...attempt.versions.keys()].join(" and ");
        attempt.fault(`versions ${names} ran in one attempt`, [...attempt.versions.values()]);
    }
}

/** Checks that the targets ran their layers in the order of the chain. */
function checkChainOrder(attempt: Attempt, chain: readonly string[]): void {
    const layerRuns = [...attempt.layerRuns].sort((a, b) => a.first - b.first);
    const chainIndexes = layerRuns.map(layerRun => chain.indexOf(layerRun.target));
    const misplaced = chainIndexes.findIndex((chainIndex, index) => chainIndex < (chainIndexes[index - 1] ?? 0));
    const layerRun = layerRuns[misplaced];
    if (layerRun !== undefined) {
        const message =
            `target ${layerRun.target} ran layers ${layerRun.first} to ${layerRun.last} against the order of its chain`;
        attempt.fault(message, [layerRun.firstLine]);
    }
}

/** Finds attempts that delivered tokens of one answer with different model versions. */
function findVersionFault(request: string, { attempts }: RequestLayers): Finding | undefined {
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
