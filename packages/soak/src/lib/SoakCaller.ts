import { type CallerReply, callGateway, impatience } from "@waxwingspar/platform/testing";
import { type Random, uniqueId } from "@waxwingspar/utils";
import { Agent } from "node:http";
import { type SoakGateway } from "./SoakGateway.js";
import { type SoakKind, type SoakLog } from "./SoakLog.js";
import { deadlyPart, gatewayHeader, promptHeader, streamEvents } from "./SoakTargets.js";

/** Options of {@link SoakCaller}. */
export interface SoakCallerOptions {
    readonly random: Random;
    readonly log: SoakLog;
    readonly now: () => number;
    readonly wait: (duration: number) => Promise<void>;
    readonly isOver: () => boolean;
    /** A gateway for a new connection; undefined if none takes any. */
    readonly chooseGateway: () => SoakGateway | undefined;
}

const kinds: readonly { readonly kind: SoakKind; readonly prefix: string; readonly method: string; }[] = [
    { kind: "idempotent", prefix: "/get/", method: "GET" },
    { kind: "once", prefix: "/order/", method: "POST" },
    { kind: "stream", prefix: "/chat/", method: "POST" },
];
/** Bounds of the milliseconds between two requests of a caller. */
const thinkTime = { least: 5, most: 80 };
/** Milliseconds after which a caller without a gateway tries again. */
const retryDelay = 100;
/** Share of the requests whose callers leave without an answer after some milliseconds, and bounds of those. */
const impatientShare = 0.2;
const patienceTime = { least: 20, most: 400 };
/** Share of the plain requests whose prompt has a deadly part. */
const deadlyShare = 0.02;
/** Number of subjects, one of which each prompt has. */
const subjects = 8;
/** Header in which a target signs, and what stands before its id. */
export const signatureHeader = "waxwingspar-replica-signature";
export const signaturePrefix = "signature-of-";
/** The whole body of a stream. */
export const streamBody = Array.from({ length: streamEvents }, (_, id) => `id: ${id}\ndata: event ${id}\n\n`).join("");

/** A caller that uses one connection as long as it lasts, then one to another gateway. */
export class SoakCaller {
    constructor(private readonly options: SoakCallerOptions) {}

    /** Sends requests until the soak is over. */
    async run(): Promise<void> {
        const { isOver, chooseGateway, wait } = this.options;
        while (!isOver()) {
            const gateway = chooseGateway();
            if (gateway === undefined) {
                await wait(retryDelay);
                continue;
            }
            const agent = new Agent({ keepAlive: true, maxSockets: 1 });
            while (!isOver() && await this.call(gateway, agent, this.drawPatienceOfSome())) {
                const { least, most } = thinkTime;
                await wait(least + this.options.random.next() * (most - least));
            }
            agent.destroy();
        }
    }

    /** Sends one request on a connection of its own, and leaves soon if there is no answer. */
    async callImpatiently(gateway: SoakGateway): Promise<void> {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        await this.call(gateway, agent, this.drawPatience());
        agent.destroy();
    }

    private drawPatienceOfSome(): number | undefined {
        return this.options.random.next() < impatientShare ? this.drawPatience() : undefined;
    }

    private drawPatience(): number {
        const { least, most } = patienceTime;
        return least + this.options.random.next() * (most - least);
    }

    /** Writes the parts of a prompt: its subject, perhaps a deadly part, and one of its own. */
    private writePrompt(kind: SoakKind): string {
        const { random } = this.options;
        const subject = `subject-${Math.floor(random.next() * subjects)}:20`;
        const isDeadly = random.next() < deadlyShare && kind !== "stream";
        return [subject, ...isDeadly ? [`${deadlyPart}:5`] : [], `${uniqueId()}:9`].join(",");
    }

    /** @returns Whether the connection may be used again. */
    private async call(gateway: SoakGateway, agent: Agent, patience?: number): Promise<boolean> {
        const { random, log, now } = this.options;
        const { kind, prefix, method } = kinds[Math.floor(random.next() * kinds.length)] ?? kinds[0]!;
        const requestId = uniqueId();
        const path = `${prefix}${requestId}`;
        const { incarnation, port, name } = gateway;
        const sentAt = now();
        let hasLeft = false;
        let writtenAt: number | undefined;
        const reply = await callGateway({
            port,
            path,
            method,
            body: method === "POST" ? requestId : undefined,
            requestId,
            agent,
            patience,
            onRequest: outgoing => outgoing.once("finish", () => writtenAt = now()),
            headers: { [gatewayHeader]: name, [promptHeader]: this.writePrompt(kind) },
        }).catch((error: unknown): CallerReply | undefined => {
            hasLeft = error === impatience;
            return undefined;
        });
        const signer = String(reply?.headers[signatureHeader] ?? "").slice(signaturePrefix.length);
        const plainBody = `${signer} ${method} ${path} ${method === "POST" ? requestId : ""}`;
        log.calls.push({
            requestId,
            kind,
            gateway: incarnation,
            sentAt,
            writtenAt,
            closedAt: reply?.isComplete === true ? undefined : now(),
            leftAt: hasLeft ? now() : undefined,
            expectedBody: kind === "stream" ? streamBody : plainBody,
            status: reply?.status ?? 0,
            body: reply?.body ?? "",
            isComplete: reply?.isComplete === true,
        });
        return reply?.isComplete === true && reply.headers["connection"] !== "close";
    }
}
