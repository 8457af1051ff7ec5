import { LimitHistory } from "@waxwingspar/gateway/testing";
import {
    failAfterRun,
    type FakeStore,
    FakeTarget,
    flood,
    hangUp,
    listTarget,
    refuse,
    type SeenRequest,
    serve,
    stream,
    type TargetBehaviour,
    unlistTarget,
} from "@waxwingspar/platform/testing";
import { type Random } from "@waxwingspar/utils";
import { type LimitedTarget } from "./checkSoak.js";
import { drawLinkFault } from "./drawLinkFault.js";
import { FaultProxy } from "./FaultProxy.js";
import { type GatewayIncarnation, type RunEnd, type SoakLog } from "./SoakLog.js";

/** Options of {@link SoakTargets}. */
export interface SoakTargetsOptions {
    readonly store: FakeStore;
    readonly random: Random;
    readonly log: SoakLog;
    readonly now: () => number;
    /** The current incarnation of a gateway. */
    readonly findSender: (gateway: string | undefined) => GatewayIncarnation | undefined;
}

interface SoakTarget extends LimitedTarget {
    readonly fake: FakeTarget;
    /** The link over which gateways reach it. */
    readonly link: FaultProxy;
    readonly toldAt: Map<GatewayIncarnation, number>;
    /** The gateways that it told that it leaves. */
    readonly toldLeaving: Set<GatewayIncarnation>;
    /** Share of the requests that it refuses beside the usual one. */
    refusedShare: number;
    /** What some of its streams turn into; undefined while it is sound. */
    flood: string | undefined;
}

/** Header in which callers name the gateway that they call. */
export const gatewayHeader = "x-gateway";
/** Header with the parts of a prompt. */
export const promptHeader = "waxwingspar-prompt-prefix";
/** The part of prompts that crashes each plain target which begins to answer them. */
export const deadlyPart = "deadly";
/** Bounds of the milliseconds from the start of an answer to the crash, and until another target replaces the crashed one. */
const crashTime = { least: 5, most: 50 };
const restartTime = { least: 1_500, most: 2_500 };
/** Milliseconds after which the entry of a crashed target expires. */
const entryExpiry = 1_000;
/** Number of events of a complete stream. */
export const streamEvents = 20;
const eventInterval = 10;
/** Milliseconds beside its events that a stream may take on a busy machine. */
const streamSlack = 1_000;
/** Text behind the usual one of a large answer, more than the operating system takes for a client that doesn't read. */
export const largePadding = "x".repeat(6_000_000);
/** Paths of streams, the milliseconds between the events of one, and where the paths of large answers begin. */
const streamPath = /^\/(?:chat|once)\//;
const pacedPath = /\/pace-(\d+)\//;
export const largePrefix = "/large/";
const millisecondsPerSecond = 1_000;
/** Bounds of the milliseconds in which a target serves a plain request. */
const serviceTime = { least: 2, most: 40 };
/** Share of plain requests that a target refuses, fails or leaves without an answer. */
const faultShare = { refused: 0.03, failed: 0.02, brokenOff: 0.02 };
/** Seconds of rest that targets ask for, and shares of the requests that they refuse meanwhile. */
const rests = [0.3, 1, 2.5, 3, 6];
const refusedShares = [0.2, 0.5, 1];
/** Bounds of the milliseconds in which a target refuses requests and asks for rest. */
const refusalTime = { least: 300, most: 8_000 };
/** What streams turn into that bring bytes without end, the share of them, and bounds of the milliseconds for which. */
const floods = ["y\n", "y", "\n", ": y\n\n", "data: y\n", "id: 0\ndata: event 0\n\n"];
const floodedShare = 0.1;
const floodTime = { least: 500, most: 5_000 };
/** Longest time in milliseconds for which a leaving target says so in its replies before the list does. */
const maxUnlistedLeaving = 3_000;
/** Milliseconds before a crash in which requests that it interrupts may have arrived. */
const longestRun = 2_000;
/** Milliseconds from its leaving until a target ends. */
const leaveTime = 6_000;

/** Answers like a usual target, with many bytes behind it. */
const serveLarge: TargetBehaviour = (seen, response, target) => {
    response.writeHead(200, target.replyHeaders(seen));
    response.end(`${target.id} ${seen.method} ${seen.path} ${seen.body}${largePadding}`);
};

function paceOf(path: string): number {
    return Number(pacedPath.exec(path)?.[1] ?? eventInterval);
}

function stopTarget({ link, fake }: SoakTarget): void {
    link.stop();
    fake.stop();
}

/** The targets of a soak: a plain service, and chains of two targets in each data centre. */
export class SoakTargets {
    private readonly all: SoakTarget[] = [];
    /** Ids of those that are leaving or have left. */
    private readonly left = new Set<string>();
    private started = 0;
    private isStopped = false;

    constructor(private readonly options: SoakTargetsOptions) {}

    /** All targets, with the limits that they named. */
    get limited(): readonly LimitedTarget[] {
        return this.all;
    }

    /** Starts the targets of all services. */
    async start(dataCentres: readonly string[], plainTargets: number): Promise<void> {
        for (const dataCentre of dataCentres) {
            await this.add(`model-${dataCentre}-1`);
            await this.add(`model-${dataCentre}-2`);
        }
        for (let index = 0; index < plainTargets; index++) {
            await this.addPlain(dataCentres[index % dataCentres.length] ?? "");
        }
    }

    /** Names, changes or lifts the limit of a random target that gets requests from gateways. */
    changeLimit(): void {
        const { random, log, now } = this.options;
        const target = this.pick(this.heads);
        if (target === undefined) {
            return;
        }
        const rates = [undefined, 0, 0.5, 2, 3, 4.1, 8];
        target.fake.limit = rates[Math.floor(random.next() * rates.length)];
        target.limits.set(now(), target.fake.limit);
        log.event(now(), `${target.id} names the limit ${target.fake.limit ?? "none"}`);
    }

    /** Makes a random target that gets requests from gateways refuse some for a while, and ask for rest. */
    async askForRest(wait: (duration: number) => Promise<void>): Promise<void> {
        const { log, now } = this.options;
        const target = this.pick(this.heads);
        if (target === undefined) {
            return;
        }
        target.fake.rest = this.pick(rests);
        target.refusedShare = this.pick(refusedShares) ?? 0;
        log.event(now(), `${target.id} refuses ${target.refusedShare} and asks for ${target.fake.rest} s of rest`);
        await wait(this.draw(refusalTime));
        target.refusedShare = 0;
        target.fake.rest = undefined;
    }

    /** Makes a random chain turn some of its streams into bytes without end for a while. */
    async flood(wait: (duration: number) => Promise<void>): Promise<void> {
        const { log, now } = this.options;
        const target = this.pick(this.heads.filter(({ id }) => id.endsWith("-1") && !id.startsWith("plain")));
        if (target === undefined) {
            return;
        }
        target.flood = this.pick(floods);
        log.event(now(), `${target.id} turns streams into ${JSON.stringify(target.flood)} without end`);
        await wait(this.draw(floodTime));
        target.flood = undefined;
    }

    /** Makes the link to a random target misbehave for a while. */
    async failLink(wait: (duration: number) => Promise<void>): Promise<void> {
        const { log, now, random } = this.options;
        const target = this.pick(this.heads);
        if (target === undefined) {
            return;
        }
        const { fault, duration, text } = drawLinkFault(random);
        log.event(now(), `the link to ${target.id} is ${text}`);
        const from = now();
        if (fault.kind !== "delayed") {
            log.linkFaults.push({ target: target.id, from, until: from + duration });
        }
        target.link.setFault(fault);
        await wait(duration);
        target.link.setFault(undefined);
    }

    /** Replaces a random plain target by a new one. */
    async replace(wait: (duration: number) => Promise<void>): Promise<void> {
        const { store, log, now } = this.options;
        const plain = this.listed.filter(({ id }) => id.startsWith("plain"));
        const target = this.pick(plain);
        if (target === undefined || plain.length < 2) {
            return;
        }
        await this.addPlain(target.id.split("-")[1] ?? "");
        this.left.add(target.id);
        target.fake.isLeaving = true;
        log.event(now(), `${target.id} says that it leaves`);
        await wait(this.draw({ least: 0, most: maxUnlistedLeaving }));
        listTarget(store, target.fake, "draining", target.link.address);
        log.departures.push({ target: target.id, at: now() });
        log.event(now(), `${target.id} leaves`);
        await wait(leaveTime / 2);
        unlistTarget(store, target.id);
        await wait(leaveTime / 2);
        stopTarget(target);
    }

    /** Stops all targets. */
    stop(): void {
        this.isStopped = true;
        this.all.forEach(stopTarget);
    }

    /** The targets that get requests from gateways. */
    private get heads(): SoakTarget[] {
        return this.listed.filter(({ id }) => id.startsWith("plain") || id.endsWith("-1"));
    }

    private get listed(): SoakTarget[] {
        return this.all.filter(({ id }) => !this.left.has(id));
    }

    /** Crashes a target: its connections are reset, new ones are refused, and another one starts some time later. */
    private async crash(target: SoakTarget): Promise<void> {
        const { store, log, now } = this.options;
        const { id } = target;
        if (this.left.has(id) || this.isStopped) {
            return;
        }
        this.left.add(id);
        log.event(now(), `${id} crashes under a part`);
        log.crashes.push(now());
        log.linkFaults.push({ target: id, from: now() - longestRun, until: Infinity });
        stopTarget(target);
        setTimeout(() => unlistTarget(store, id), entryExpiry);
        await new Promise(resolve => void setTimeout(resolve, this.draw(restartTime)));
        if (!this.isStopped) {
            await this.addPlain(id.split("-")[1] ?? "");
        }
    }

    private addPlain(dataCentre: string): Promise<void> {
        return this.add(`plain-${dataCentre}-${++this.started}`);
    }

    private async add(id: string): Promise<void> {
        const fake = new FakeTarget(id, (seen, response, self) => {
            const [end, behaviour] = this.choose(seen, target);
            const sender = this.options.findSender(String(seen.headers[gatewayHeader]));
            const at = this.options.now();
            const isDeadly = end !== "refused" && String(seen.headers[promptHeader]).includes(`${deadlyPart}:`);
            this.options.log.runs.push({
                requestId: seen.id,
                target: id,
                at,
                sender,
                end: isDeadly ? "brokenOff" : end,
                isDeadly,
                duration: streamPath.test(seen.path) ? paceOf(seen.path) * streamEvents + streamSlack : undefined,
            });
            if (isDeadly) {
                setTimeout(() => void this.crash(target), this.draw(crashTime));
                return;
            }
            const answer: TargetBehaviour = (...parts) => {
                if (sender !== undefined && end !== "brokenOff" && target.link.isOpen) {
                    this.noteWords(target, end, sender);
                }
                behaviour(...parts);
            };
            setTimeout(() => answer(seen, response, self), streamPath.test(seen.path) ? 0 : this.draw(serviceTime));
        });
        await fake.start();
        const link = new FaultProxy({ server: fake.address });
        await link.start();
        const target: SoakTarget = {
            id,
            fake,
            link,
            limits: new LimitHistory(),
            toldAt: new Map(),
            toldLeaving: new Set(),
            refusedShare: 0,
            flood: undefined,
        };
        this.all.push(target);
        if (this.isStopped) {
            stopTarget(target);
            return;
        }
        listTarget(this.options.store, fake, "ready", link.address);
    }

    /** Records what a reply that is being written tells a gateway about its target. */
    private noteWords(target: SoakTarget, end: RunEnd, sender: GatewayIncarnation): void {
        const { log, now } = this.options;
        const { id, fake, toldAt, toldLeaving } = target;
        if (fake.limit !== undefined && !toldAt.has(sender)) {
            toldAt.set(sender, now());
        }
        if (end === "refused" && fake.rest !== undefined) {
            log.rests.push({ target: id, sender, at: now(), until: now() + fake.rest * millisecondsPerSecond });
        }
        if (fake.isLeaving && !toldLeaving.has(sender)) {
            toldLeaving.add(sender);
            log.toldLeaving.push({ target: id, sender, at: now() });
        }
    }

    private choose(
        { path, headers }: SeenRequest,
        { refusedShare, flood: text }: SoakTarget,
    ): readonly [RunEnd, TargetBehaviour] {
        if (refusedShare > 0 && this.options.random.next() < refusedShare) {
            return ["refused", refuse];
        }
        if (text !== undefined && streamPath.test(path) && this.options.random.next() < floodedShare) {
            const left = streamEvents - Number(headers["last-event-id"] ?? -1) - 1;
            return ["brokenOff", flood(Math.floor(this.options.random.next() * left), text, eventInterval)];
        }
        if (streamPath.test(path)) {
            return ["served", stream(streamEvents, Infinity, paceOf(path))];
        }
        const drawn = this.options.random.next();
        const { refused, failed, brokenOff } = faultShare;
        if (drawn < refused) {
            return ["refused", refuse];
        }
        if (drawn < refused + failed) {
            return ["failed", failAfterRun];
        }
        return drawn < refused + failed + brokenOff
            ? ["brokenOff", hangUp]
            : ["served", path.startsWith(largePrefix) ? serveLarge : serve];
    }

    private pick<T>(items: readonly T[]): T | undefined {
        return items[Math.floor(this.options.random.next() * items.length)];
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + this.options.random.next() * (most - least);
    }
}
