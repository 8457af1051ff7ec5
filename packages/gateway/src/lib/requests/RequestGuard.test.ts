import assert from "node:assert/strict";
import { test } from "node:test";
import { type SlotPool } from "../admission/SlotPool.js";
import { PlainSlotSite } from "../testing/PlainSlotSite.js";
import { type SimulatedAnswer } from "../testing/SimulatedAnswer.js";
import { plainRoute } from "../testing/SimulatedRouter.js";
import { StreamSite } from "../testing/StreamSite.js";
import { unlimitedSlots } from "../testing/unlimitedSlots.js";
import { RequestGuard, type RequestGuardOptions } from "./RequestGuard.js";

/** Milliseconds until the deadline of a request, and longer than any request takes. */
const timeout = 3_000;
const untilDeadline = 3_200;
/** Distance of the callbacks at which a walk over many of them stops. */
const stride = 7;

/** Makes the callbacks with some numbers, in the order of their calls, throw instead of doing their work. */
class Walk {
    readonly places: string[] = [];
    /** Where errors were counted, and those that were logged with the request. */
    readonly counted: string[] = [];
    readonly logged: string[] = [];

    constructor(private readonly failing: ReadonlySet<number>) {}

    readonly createGuard = (options: RequestGuardOptions): RequestGuard => {
        const pass = (place: string) => {
            this.places.push(place);
            if (this.failing.has(this.places.length - 1)) {
                throw new Error(`injected at ${place}`);
            }
        };
        const { context, caller } = options;
        const { metrics, logs } = context.observation;
        const requestErrors = { add: ({ place = "" }: Record<string, string>) => this.counted.push(place) };
        const requests = {
            error: ({ digest, place }: Record<string, string>) => this.logged.push(`${digest} ${place}`),
        };
        const observation = {
            metrics: Object.assign(Object.create(metrics) as typeof metrics, { requestErrors }),
            logs: { ...logs, requests: Object.assign(Object.create(logs.requests) as typeof logs.requests, requests) },
        };
        return new class extends RequestGuard {
            override wrap<Arguments extends unknown[]>(
                place: string,
                callback: (...given: Arguments) => void,
            ): (...given: Arguments) => void {
                return super.wrap(place, (...given: Arguments) => {
                    pass(place);
                    callback(...given);
                });
            }

            override watch(place: string, promise: Promise<void>): void {
                super.watch(place, promise.then(() => pass(place)));
            }
        }({ context: { ...context, observation }, caller });
    };
}

interface Play {
    readonly walk: Walk;
    readonly answer: SimulatedAnswer;
    /** Requests that targets still run at the end, loads of chains that count one, and slots that are not given back. */
    readonly left: readonly number[];
    readonly arrivals: number;
}

async function playStream(failing: ReadonlySet<number>, isResumable: boolean): Promise<Play> {
    const walk = new Walk(failing);
    let slots = 0;
    const takeSlot = (head = "") => {
        slots++;
        let isHeld = true;
        const release = () => {
            slots -= isHeld ? 1 : 0;
            isHeld = false;
        };
        return { kind: "granted" as const, head, held: 0, release };
    };
    const createSlots = () => ({ ...unlimitedSlots, tryLocal: ({ heads: [head] }: SlotPool) => takeSlot(head?.id) });
    const site = new StreamSite({ isResumable, isResuming: true, timeout, createGuard: walk.createGuard, createSlots });
    site.heads[0]!.flood = isResumable ? { content: Buffer.from("y\n"), interval: 90, after: 5 } : undefined;
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    const running = site.targets.map(target => target.running);
    const loads = site.router.chains.headLoads().map(([, load]) => load);
    return { walk, answer: site.answers[0]!, left: [...running, ...loads, slots], arrivals: site.arrivals };
}

async function playPlain(failing: ReadonlySet<number>, kind: typeof plainRoute.kind): Promise<Play> {
    const walk = new Walk(failing);
    const site = new PlainSlotSite({ createGuard: walk.createGuard, failedShare: 0.5 });
    const answer = site.gateways[0]!.startPlain("question", { ...plainRoute, timeout, kind });
    await site.clock.advanceAsync(untilDeadline);
    const running = site.targets.map(target => target.running);
    return { walk, answer, left: running, arrivals: site.arrivals.reduce((sum, count) => sum + count, 0) };
}

const plays: Readonly<Record<string, (failing: ReadonlySet<number>) => Promise<Play>>> = {
    "resumable stream": failing => playStream(failing, true),
    "stream that may run once": failing => playStream(failing, false),
    "idempotent request": failing => playPlain(failing, "idempotent"),
    "request that may run once": failing => playPlain(failing, "nonIdempotent"),
};

// Guards against a request that never ends, and keeps what it holds, because one of its callbacks has thrown.
for (const [name, play] of Object.entries(plays)) {
    test(`${name}: it ends truthfully and gives everything back, whichever of its callbacks throw`, async () => {
        const { walk: { places } } = await play(new Set());
        assert.ok(places.length > 3);
        const isNew = (index: number) => !places.slice(0, index).includes(places[index]!);
        const stops = places.map((_, index) => index).filter(index =>
            index < 12 || index % stride === 0 || isNew(index)
        );
        for (const first of stops) {
            for (
                const failing of [new Set([first]), new Set([first, first + 1]), new Set([first, first + 3, first + 4])]
            ) {
                const { walk, answer, left, arrivals } = await play(failing);
                const label = `throws at ${[...failing].map(index => `${index} ${walk.places[index] ?? ""}`).join()}`;
                assert.equal(answer.isOver, true, label);
                assert.ok(left.every(count => count === 0), `${label}: ${left.join()} left`);
                const thrown = walk.places.filter((_, index) => failing.has(index));
                assert.deepEqual(walk.counted, thrown, label);
                assert.equal(walk.logged.length, thrown.length, label);
                assert.ok(walk.logged.every(line => /^\S+ \S+$/.test(line)), label);
                assert.ok(answer.statusCode !== 503 || arrivals === 0, `${label}: refused after it has arrived`);
                const isWhole = answer.statusCode !== 200 || !answer.isComplete || answer.body.includes("id: 1\n");
                assert.ok(isWhole, `${label}: ${answer.body}`);
            }
        }
    });
}
