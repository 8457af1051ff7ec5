import { FileRecorder, type HistoryEvent } from "@waxwingspar/history";
import { SystemClock } from "@waxwingspar/utils";
import { join } from "node:path";

/** The dimensions of a sample history. */
export interface SampleShape {
    readonly requests: number;
    readonly stages: number;
    readonly layers: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
}

const clock = new SystemClock();

/**
 * Writes the history files of an entry and of one agent per stage, in which every request completes.
 *
 * @returns The paths of the files, and their total number of lines.
 */
export async function writeSampleHistory(
    folder: string,
    shape: SampleShape,
): Promise<{ paths: string[]; lines: number; }> {
    const targets = Array.from({ length: shape.stages }, (_, index) => `target-${index}`);
    const files = await Promise.all([undefined, ...targets].map(target => openFile(folder, target)));
    const [entry, ...agents] = files;
    let lines = files.length * 2;
    const record = (file: (typeof files)[number] | undefined, event: HistoryEvent) => {
        lines++;
        file?.recorder.record(event);
    };
    for (let number = 0; number < shape.requests; number++) {
        recordRequest(`request ${number}`, shape, targets, event => record(entry, event), (stage, event) => {
            record(agents[stage], event);
        });
        await Promise.all(files.map(({ recorder }) => recorder.flush()));
    }
    await Promise.all(files.map(({ recorder }) => recorder.close()));
    return { paths: files.map(({ path }) => path), lines };
}

async function openFile(folder: string, target: string | undefined) {
    const process = target ?? "entry";
    const path = join(folder, `${process}.jsonl`);
    const opened = await FileRecorder.open({ clock, path, process, incarnation: "1", target });
    if (opened.isErr) {
        throw new Error(opened.error.message);
    }
    return { path, recorder: opened.value };
}

function recordRequest(
    request: string,
    shape: SampleShape,
    targets: readonly string[],
    recordAtEntry: (event: HistoryEvent) => void,
    recordAtStage: (stage: number, event: HistoryEvent) => void,
): void {
    const { layers, promptTokens, answerTokens } = shape;
    const attempt = { request, epoch: 0 };
    const depth = layers / targets.length;
    recordAtEntry({ event: "request.received", request, organisation: "depot", route: "demo", idempotent: true });
    recordAtEntry({ event: "attempt.started", ...attempt, targets: [...targets], resumeAt: 0 });
    recordAtStage(0, { event: "prompt.read", ...attempt, tokens: promptTokens, layers });
    for (let token = 0; token < answerTokens; token++) {
        const position = token === 0 ? 0 : promptTokens + token - 1;
        const count = token === 0 ? promptTokens : 1;
        for (const [stage, target] of targets.entries()) {
            const [first, last] = [stage * depth, (stage + 1) * depth - 1];
            recordAtStage(stage, {
                event: "layers.run",
                ...attempt,
                target,
                version: "1",
                first,
                last,
                position,
                count,
            });
        }
        recordAtEntry({ event: "tokens.sent", ...attempt, position: token, ids: [token] });
    }
    recordAtEntry({ event: "request.ended", request, outcome: "completed", tokens: answerTokens });
}
