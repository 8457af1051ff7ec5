import { referenceAnswer } from "@waxwingspar/engine";
import { checkHistoryFiles, FileRecorder, type HistoryReport } from "@waxwingspar/history";
import { type Address } from "@waxwingspar/transport";
import { type Clock, type Outcome, type Random, uniqueId } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { join } from "node:path";
import { type Logger } from "pino";
import { Result } from "true-myth";
import { fetch } from "undici";
import { LocalSite, type SiteAgent } from "../site/LocalSite.js";
import { demoModel } from "../site/siteResources.js";
import { streamAnswer, type StreamedAnswer } from "./streamAnswer.js";

/** @internal */
export interface DemoOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    /** An existing folder for the history files. */
    readonly historyFolder: string;
    /** Prints text while the demo runs. */
    readonly write: (text: string) => void;
    /** Streams that run concurrently with the one that is printed. Default 5. */
    readonly companions?: number;
    /** Tokens of each answer, at most. Default 90. */
    readonly maxTokens?: number;
    /** Pieces of the printed answer after which a stage is killed. Default 20. */
    readonly killAfter?: number;
    /** Targets per stage; with 1 there is no spare. Default 2. */
    readonly replicas?: number;
}

/** One condition that must hold for the demo to succeed. @internal */
export interface DemoCheck {
    readonly name: string;
    readonly holds: boolean;
    readonly detail: string;
}

/** @internal */
export interface DemoResult {
    readonly checks: readonly DemoCheck[];
    readonly history: HistoryReport;
}

const loopback: Address = { host: "127.0.0.1", port: 0 };
const middleStage = 1;
const mainPrompt = "The mast of forklift 7 drifts down under load. What should be checked first?";

/**
 * Runs the demo: a three-stage pipeline streams answers, one stage is killed in mid-stream, the streams continue on a
 * spare target, and the recorded history is checked.
 *
 * @returns The checks, or the failure that kept the site from running.
 * @internal
 */
export async function runDemo(options: DemoOptions): Promise<Outcome<DemoResult>> {
    const site = new LocalSite({ ...options, callers: loopback, operators: loopback });
    const started = await site.start();
    if (started.isErr) {
        return Result.err(started.error);
    }
    const caller = await DemoCaller.open(options, started.value.callers);
    if (caller.isErr) {
        return Result.err(caller.error);
    }
    const stream = await streamWhileKillingStage(options, site, caller.value);
    const runs = await caller.value.sendWorkOrderTwice();
    const interrupted = await site.stop();
    const files = [...site.historyFiles, await caller.value.close()];
    const history = await checkHistoryFiles(files, { lost: stream.killed === undefined ? [] : [stream.killed.name] });
    return history.map(report => ({
        history: report,
        checks: [
            ...streamChecks(stream),
            ...workOrderChecks(runs),
            check("graceful stop", interrupted === 0, `${interrupted} requests cut off`),
            historyCheck(report),
        ],
    }));
}

/** The answers of all streams, and the agent that was killed while they ran. */
interface KillResult {
    readonly answers: readonly CheckedAnswer[];
    readonly killed: SiteAgent | undefined;
    /** Pieces of the printed answer that arrived after the kill. */
    readonly piecesAfter: number;
}

async function streamWhileKillingStage(
    options: DemoOptions,
    site: LocalSite,
    caller: DemoCaller,
): Promise<KillResult> {
    const { companions = 5, killAfter = 20, write } = options;
    let pieces = 0;
    let killed: SiteAgent | undefined;
    function onText(text: string): void {
        write(text);
        pieces++;
        if (pieces === killAfter) {
            killed = site.agents.find(agent => agent.stage === middleStage && agent.node.agent.activeRequests > 0);
            write(killed === undefined ? "" : ` [${killed.name} is killed here]`);
            void (killed && site.kill(killed));
        }
    }
    const prompts = Array.from({ length: companions }, (_, index) => `Summarise inspection ${index + 1} of depot 12.`);
    const answers = await Promise.all([
        caller.ask(mainPrompt, onText),
        ...prompts.map(prompt => caller.ask(prompt)),
    ]);
    write("\n");
    return { answers, killed, piecesAfter: Math.max(0, pieces - killAfter) };
}

/** An answer with the text that the model should have given. */
interface CheckedAnswer extends StreamedAnswer {
    readonly expected: string;
}

/** The callers of the demo, with their own history file. */
class DemoCaller {
    private constructor(
        private readonly options: DemoOptions,
        private readonly origin: string,
        private readonly recorder: FileRecorder,
        private readonly path: string,
    ) {}

    static async open(options: DemoOptions, callers: Address): Promise<Outcome<DemoCaller>> {
        const path = join(options.historyFolder, "caller.jsonl");
        const { clock } = options;
        const opened = await FileRecorder.open({ clock, path, process: "caller", incarnation: uniqueId() });
        const origin = `http://${callers.host}:${callers.port}`;
        return opened.map(recorder => new DemoCaller(options, origin, recorder, path));
    }

    async ask(prompt: string, onText?: (text: string) => void): Promise<CheckedAnswer> {
        const { clock, maxTokens = 90 } = this.options;
        const requestId = uniqueId();
        const { text: expected } = referenceAnswer({
            model: demoModel.name,
            version: demoModel.version,
            layers: demoModel.layers,
            prompt,
            maxTokens,
        });
        this.recorder.record({ event: "caller.sent", callerRequest: requestId, idempotent: true, prompt });
        const { origin } = this;
        const answer = await streamAnswer({
            origin,
            clock,
            model: demoModel.name,
            prompt,
            maxTokens,
            requestId,
            onText,
        });
        this.recorder.record({
            event: "caller.ended",
            callerRequest: requestId,
            outcome: answer.whole ? "completed" : "unknown",
            digest: digestOf(answer.text),
            expected: digestOf(expected),
        });
        return { ...answer, expected };
    }

    /** Sends one work order twice concurrently, like a caller that retries early. @returns The reported run numbers. */
    async sendWorkOrderTwice(): Promise<(number | undefined)[]> {
        const key = uniqueId();
        return Promise.all([this.sendWorkOrder(key), this.sendWorkOrder(key)]);
    }

    async close(): Promise<string> {
        await this.recorder.close();
        return this.path;
    }

    private async sendWorkOrder(key: string): Promise<number | undefined> {
        const response = await fetch(`${this.origin}/services/records/work-orders`, {
            method: "POST",
            headers: { "Content-Type": "application/json", "Idempotency-Key": key },
            body: JSON.stringify({ forklift: 7, part: "lift cylinder seal" }),
        });
        const body = await response.json() as { run?: number; };
        return body.run;
    }
}

function streamChecks({ answers, killed, piecesAfter }: KillResult): DemoCheck[] {
    const whole = answers.filter(answer => answer.whole && answer.text === answer.expected).length;
    const pause = Math.max(...answers.map(answer => answer.longestPause));
    return [
        check("a stage was killed in mid-stream", killed !== undefined, killed?.name ?? "no busy agent found"),
        check("every answer is complete and correct", whole === answers.length, `${whole} of ${answers.length}`),
        check("the stream continued", killed !== undefined && piecesAfter > 0, `longest pause ${Math.round(pause)} ms`),
    ];
}

function workOrderChecks(runs: readonly (number | undefined)[]): DemoCheck[] {
    const told = [...new Set(runs)].filter(run => run !== undefined);
    return [check("a work order sent twice ran once", told.length === 1 && told[0] === 1, `run ${told.join(" and ")}`)];
}

function historyCheck(report: HistoryReport): DemoCheck {
    const { violations, lines, tokens } = report;
    const [first] = violations;
    const example = first === undefined ? "" : `, such as ${first.rule}: ${first.message}`;
    const detail = `${lines} lines, ${tokens} tokens, ${violations.length} violations${example}`;
    return check("the history holds", violations.length === 0 && tokens > 0, detail);
}

function check(name: string, holds: boolean, detail: string): DemoCheck {
    return { name, holds, detail };
}

function digestOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
