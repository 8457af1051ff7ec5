import { seededRandom } from "@waxwingspar/utils";
import { createWorkQueue } from "../lib/admission/createWorkQueue.js";
import { EventClock } from "./EventClock.js";

/** Requests per second that each target's share of the limit allows. */
const limitPerTarget = 2.5;
const warmUp = 5000;
const duration = 60_000;

/** The deviation from an organisation's rate limit when each target enforces its share of it. */
export interface LimitError {
    readonly targets: number;
    readonly burstSeconds: number;
    /** The rate that the organisation sends, relative to its limit. */
    readonly offered: number;
    /** The number of admitted requests, relative to the number that the limit allows. */
    readonly admitted: number;
}

/** Measures the deviation for several bursts and loads. @internal */
export function measureLimitErrors(seed: number): LimitError[] {
    const bursts = [1, 2, 5, 10];
    const loads = [0.7, 0.9, 1, 2];
    return bursts.flatMap(burstSeconds => loads.map(load => measureLimitError(40, burstSeconds, load, seed)));
}

/** Sends Poisson arrivals to random targets, each of which enforces its share of the limit. @internal */
export function measureLimitError(targets: number, burstSeconds: number, load: number, seed: number): LimitError {
    const clock = new EventClock();
    const random = seededRandom(seed);
    const limit = limitPerTarget * targets;
    const queues = Array.from({ length: targets }, () => {
        const queue = createWorkQueue({ clock, slots: 1000, burstSeconds });
        queue.setShare("organisation", 1, limit / targets);
        return queue;
    });
    const counts = { offered: 0, admitted: 0 };
    const send = (id: number) => {
        const queue = queues[random.below(targets)]!;
        const isAdmitted = queue.offer({
            id: String(id),
            organisation: "organisation",
            priority: 5,
            timeLeft: duration,
            startBound: duration,
            cost: 1,
            start: () => undefined,
            refuse: () => undefined,
        }).isOk;
        queue.finish(String(id), 1);
        if (clock.now() >= warmUp) {
            counts.offered++;
            counts.admitted += isAdmitted ? 1 : 0;
        }
        clock.schedule(() => send(id + 1), -Math.log(1 - random.next()) / (limit * load) * 1000);
    };
    send(0);
    clock.runUntil(duration);
    const allowed = Math.min(counts.offered, limit * (duration - warmUp) / 1000);
    return { targets, burstSeconds, offered: load, admitted: counts.admitted / allowed };
}
