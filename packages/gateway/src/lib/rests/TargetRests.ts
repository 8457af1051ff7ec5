import { type Clock, type Random } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Observation } from "../observation/Observation.js";
import { type ReplyEvidence } from "../replies/ReplyEvidence.js";
import { Recovery } from "./Recovery.js";

/** Options of {@link TargetRests}. */
export interface TargetRestsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly observation: Observation;
}

/** How a send to a target ended, as far as its recovery is concerned. */
export type SendEnd = "accepted" | "refused" | "unanswered";

interface Rest {
    /** When it ends, on the clock. */
    end: number;
    /** Limits what is sent after the end. */
    readonly recovery: Recovery;
}

/** Maximum number of targets whose rests are kept. */
const maxTargets = 2_000;
/**
 * Bounds of the time by which a rest is extended at random, as a share of it and in milliseconds: gateways that were
 * turned away together would all return at the same moment.
 */
const extension = { share: 0.1, max: 500 };
/** Milliseconds until a target that recovers may take a further request: it answers some within this time. */
const recoveryWait = 200;

/**
 * The rests that targets ask this gateway for when they turn a request away, by incarnation. A rest is a promise to send
 * nothing until it ends; a shorter one that is asked for meanwhile does not shorten it. After its end, the target gets
 * one request at first, and more as it accepts them.
 */
export class TargetRests {
    private readonly rests = new LRUCache<string, Rest>({ max: maxTargets });

    constructor(private readonly options: TargetRestsOptions) {}

    /** Milliseconds until the rest of a target ends; 0 if it has none. */
    timeLeft(target: Target): number {
        const { end } = this.rests.get(incarnationOf(target)) ?? { end: -Infinity };
        return Math.max(0, end - this.options.clock.now());
    }

    /** Milliseconds until a request may be sent to a target; 0 if one may be sent now. */
    waitFor(target: Target): number {
        const rest = this.rests.get(incarnationOf(target));
        const isClosed = rest !== undefined && !rest.recovery.mayBegin(this.options.clock.now());
        return Math.max(this.timeLeft(target), isClosed ? recoveryWait : 0);
    }

    /** Identifies the targets that rest now, so that results derived from them can be cached until one changes. */
    get fingerprint(): string {
        const now = this.options.clock.now();
        return [...this.rests.entries()].flatMap(([incarnation, { end }]) => end > now ? [incarnation] : []).join();
    }

    /** Records that a request is sent. @returns A function that records how it ended; only the first call counts. */
    beginSend(target: Target): (end: SendEnd) => void {
        const incarnation = incarnationOf(target);
        const recovery = this.rests.get(incarnation)?.recovery;
        if (recovery === undefined) {
            return () => undefined;
        }
        recovery.begin(this.options.clock.now());
        let isOver = false;
        return end => {
            if (isOver) {
                return;
            }
            isOver = true;
            recovery.end(end);
            if (recovery.isOver && this.timeLeft(target) === 0) {
                this.rests.delete(incarnation);
            }
        };
    }

    /** Records the rest that a reply asks for. */
    recordReply({ target, faultyTarget, head: { rest }, requestId, status }: ReplyEvidence): void {
        const { observation: { logs, metrics } } = this.options;
        if (rest.kind === "none") {
            return;
        }
        metrics.rests.add({ kind: rest.kind });
        const fields = { target: target.id, faulty: faultyTarget?.id, request: requestId, status };
        if (rest.kind === "unreadable") {
            logs.targets.warn({ ...fields, text: rest.text }, "rest unreadable");
            return;
        }
        const { duration } = rest;
        logs.targets.info({ ...fields, duration, left: Math.round(this.timeLeft(target)) }, "rest asked for");
        // A head may speak for a target behind it, and then neither of the two wants the next request.
        [target, ...faultyTarget === undefined ? [] : [faultyTarget]].forEach(one => this.begin(one, duration));
    }

    private begin(target: Target, duration: number): void {
        const { clock, random } = this.options;
        if (duration <= this.timeLeft(target) || duration === 0) {
            return;
        }
        const incarnation = incarnationOf(target);
        const end = clock.now() + duration + random.next() * Math.min(extension.max, duration * extension.share);
        const known = this.rests.get(incarnation);
        if (known === undefined) {
            this.rests.set(incarnation, { end, recovery: new Recovery() });
        }
        else {
            known.end = Math.max(known.end, end);
        }
    }
}
