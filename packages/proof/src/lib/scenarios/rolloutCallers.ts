import { referenceAnswer } from "@waxwingspar/engine";
import { type Clock } from "@waxwingspar/utils";
import { setTimeout as pause } from "node:timers/promises";
import { callEntry, createConnections } from "../callers/callEntry.js";

/** The model of the rollout; a different one from that of the other callers. @internal */
export const rolloutModel = { model: "rollout", layers: 12, versions: ["v1", "v2"] } as const;

/** The outcome of one request of the callers of a rollout. @internal */
export interface RolloutAnswer {
    readonly sentAt: number;
    readonly endedAt: number;
    /** The version whose complete answer was received; undefined if it matches none, or more than one. */
    readonly version: string | undefined;
    /** The result code of a failure. */
    readonly code: number | undefined;
}

const maxTokens = 40;
const requestsPerSecond = 12;
/** Milliseconds between two requests. */
const interval = 1000 / requestsPerSecond;

/**
 * Open-loop callers of the model that is rolled out: requests are sent at a fixed rate and not retried.
 *
 * @internal
 */
export class RolloutCallers {
    readonly answers: RolloutAnswer[] = [];
    private readonly connections = createConnections();
    private readonly open = new Set<Promise<void>>();
    private stopped = false;
    private sending: Promise<void> | undefined;

    constructor(private readonly clock: Clock, private readonly origins: readonly string[]) {}

    start(): void {
        this.sending = this.sendAtRate();
    }

    /** Stops sending and waits until all requests in flight have ended. */
    async finish(): Promise<void> {
        this.stopped = true;
        await this.sending;
        await Promise.all(this.open);
        await this.connections.close();
    }

    /** Counts the completed requests in each full second between two times. */
    completedBySecond(from: number, to: number): number[] {
        const counts = Array.from({ length: Math.floor((to - from) / 1000) }, () => 0);
        for (const { endedAt, version } of this.answers) {
            const second = Math.floor((endedAt - from) / 1000);
            if (version !== undefined && counts[second] !== undefined) {
                counts[second]++;
            }
        }
        return counts;
    }

    private async sendAtRate(): Promise<void> {
        for (let number = 0; !this.stopped; number++) {
            const call = this.call(`Which seal of forklift ${number} leaks first?`, number);
            this.open.add(call);
            void call.finally(() => this.open.delete(call));
            await pause(interval);
        }
    }

    private async call(prompt: string, number: number): Promise<void> {
        const { model } = rolloutModel;
        const { text, code, outcome, sentAt, endedAt } = await callEntry({
            clock: this.clock,
            connections: this.connections,
            url: `${this.origins[number % this.origins.length]}/v1/completions`,
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true }),
            streamed: true,
        });
        const matching = rolloutModel.versions.filter(version => text === expectedOf(version, prompt));
        const version = outcome === "completed" && matching.length === 1 ? matching[0] : undefined;
        this.answers.push({ sentAt, endedAt, version, code });
    }
}

function expectedOf(version: string, prompt: string): string {
    const { model, layers } = rolloutModel;
    return referenceAnswer({ model, version, layers, prompt, maxTokens }).text;
}
