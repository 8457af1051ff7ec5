import { testHostname } from "@waxwingspar/platform/testing";
import { uniqueId } from "@waxwingspar/utils";
import { signatureHeader, signaturePrefix, type SoakCallerOptions, streamBody } from "./SoakCaller.js";
import { longTimeout } from "./soakConfiguration.js";
import { SoakConnection } from "./SoakConnection.js";
import { type SoakGateway } from "./SoakGateway.js";
import { type SoakKind } from "./SoakLog.js";
import { gatewayHeader, largePadding, largePrefix, promptHeader, streamEvents } from "./SoakTargets.js";

interface PlannedCall {
    readonly requestId: string;
    readonly kind: SoakKind;
    readonly method: string;
    readonly path: string;
}

/** The connection of a caller, when it sends on it, and when it did so before. */
interface CallerLink {
    readonly gateway: SoakGateway;
    readonly connection: SoakConnection;
    readonly sentAt: number;
    readonly previousAt: number | undefined;
}

interface Bounds {
    readonly least: number;
    readonly most: number;
}

/** Bounds of the milliseconds between two requests, and of those in which a stream sends its events. */
const thinkTime: Bounds = { least: 0, most: 1_500 };
const streamTime: Bounds = { least: 200, most: 3_500 };
/** Bounds of the milliseconds between two parts of a body, and for which a slow reader reads nothing. */
const bodyPause: Bounds = { least: 100, most: 900 };
const readPause: Bounds = { least: 200, most: 2_000 };
/** Shares of what a caller sends at a time; else it is one stream. */
const shares = { ahead: 0.25, slowBody: 0.15, slowReader: 0.1, plain: 0.1 };
/** Bounds of the number of requests that are sent ahead. */
const aheadCount: Bounds = { least: 2, most: 9 };
/** Milliseconds after which a request counts as never answered: its deadline, the end of a stop and a starved gateway. */
const answerTime = 25_000;
const retryDelay = 100;
const subjects = 8;

/**
 * A caller that thinks between its requests and keeps its connection until the process is gone. It uses streams of many
 * lengths, sends requests ahead, sends bodies in pieces and reads large answers slowly.
 */
export class SteadyCaller {
    constructor(private readonly options: SoakCallerOptions) {}

    /** Sends requests until the soak is over. */
    async run(): Promise<void> {
        const { isOver, chooseGateway, wait, now } = this.options;
        while (!isOver()) {
            const gateway = chooseGateway();
            const connection = gateway && new SoakConnection({ port: gateway.port, now });
            if (gateway === undefined || connection === undefined || !await connection.open()) {
                await wait(retryDelay);
                continue;
            }
            for (let previousAt: number | undefined; !isOver() && connection.closedAt === undefined;) {
                await wait(this.draw(thinkTime));
                const sentAt = now();
                await this.exchange({ gateway, connection, sentAt, previousAt });
                previousAt = sentAt;
            }
            connection.destroy();
        }
    }

    private async exchange(link: CallerLink): Promise<void> {
        const drawn = this.options.random.next();
        const { ahead, slowBody, slowReader, plain } = shares;
        if (drawn < ahead) {
            const planned = Array.from({ length: Math.floor(this.draw(aheadCount)) }, () => this.planAny());
            await this.send(link, planned);
        }
        else if (drawn < ahead + slowBody) {
            await this.send(link, [this.plan("once", "/order/")], this.draw(bodyPause));
        }
        else if (drawn < ahead + slowBody + slowReader) {
            link.connection.readLater(this.draw(readPause));
            await this.send(link, [this.plan("idempotent", largePrefix)]);
        }
        else if (drawn < ahead + slowBody + slowReader + plain) {
            await this.send(link, [this.plan("once", "/order/")]);
        }
        else {
            await this.send(link, [this.planStream(this.draw(streamTime))]);
        }
    }

    /** Sends requests, the last part of the last body after a pause, and records the answers to all of them. */
    private async send(link: CallerLink, planned: readonly PlannedCall[], pause = 0): Promise<void> {
        const { log, wait } = this.options;
        const { gateway, connection, sentAt, previousAt } = link;
        const { incarnation } = gateway;
        const text = planned.map(call => this.write(call, gateway)).join("");
        const isWhole = pause === 0;
        let writtenAt = await connection.write(isWhole ? text : text.slice(0, -1));
        if (!isWhole) {
            await wait(pause);
            writtenAt = await connection.write(text.slice(-1));
        }
        const timer = setTimeout(() => connection.destroy(), answerTime);
        let isBehindBroken = false;
        for (const { requestId, kind, method, path } of planned) {
            const reply = await connection.receive();
            const signer = String(reply?.headers[signatureHeader] ?? "").slice(signaturePrefix.length);
            const plainBody = `${signer} ${method} ${path} ${method === "POST" ? requestId : ""}`;
            log.calls.push({
                requestId,
                kind,
                gateway: incarnation,
                sentAt,
                previousAt,
                writtenAt,
                closedAt: reply?.isComplete === true ? undefined : connection.closedAt,
                expectedBody: isStream(path) ? streamBody : plainBody,
                status: reply?.status ?? 0,
                body: path.startsWith(largePrefix) ? withoutPadding(reply?.body) : reply?.body ?? "",
                isComplete: reply?.isComplete === true,
                isBehindBroken,
            });
            isBehindBroken ||= reply?.isComplete === false;
        }
        clearTimeout(timer);
    }

    private write({ requestId, method, path }: PlannedCall, { name }: SoakGateway): string {
        const body = method === "POST" ? requestId : "";
        const subject = `subject-${Math.floor(this.options.random.next() * subjects)}`;
        return [
            `${method} ${path} HTTP/1.1`,
            `Host: ${testHostname}`,
            "Authorization: Bearer key-1",
            `Waxwingspar-Request-Id: ${requestId}`,
            `Waxwingspar-Deadline-Ms: ${longTimeout}`,
            `${gatewayHeader}: ${name}`,
            `${promptHeader}: ${subject}:20,${uniqueId()}:9`,
            `Content-Length: ${body.length}`,
            "",
            body,
        ].join("\r\n");
    }

    private planAny(): PlannedCall {
        const plans: readonly (() => PlannedCall)[] = [
            () => this.plan("idempotent", "/get/"),
            () => this.plan("once", "/order/"),
            () => this.planStream(streamTime.least),
        ];
        return plans[this.options.random.below(plans.length)]!();
    }

    private planStream(duration: number): PlannedCall {
        const pace = Math.round(duration / streamEvents);
        return this.options.random.next() < 0.5
            ? this.plan("stream", `/chat/pace-${pace}/`)
            : this.plan("once", `/once/pace-${pace}/`);
    }

    private plan(kind: SoakKind, prefix: string): PlannedCall {
        const requestId = uniqueId();
        return { requestId, kind, method: kind === "idempotent" ? "GET" : "POST", path: `${prefix}${requestId}` };
    }

    private draw({ least, most }: Bounds): number {
        return least + this.options.random.next() * (most - least);
    }
}

/** @returns The usual text of a large answer, so that a soak keeps no large texts; all of one that is not whole. */
function withoutPadding(body = ""): string {
    return body.endsWith(largePadding) ? Buffer.from(body.slice(0, -largePadding.length)).toString() : body;
}

function isStream(path: string): boolean {
    return path.startsWith("/chat/") || path.startsWith("/once/");
}
