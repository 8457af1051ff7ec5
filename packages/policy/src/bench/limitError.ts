import { seededRandom } from "@waxwingspar/utils";
import { createWorkQueue } from "../lib/admission/createWorkQueue.js";
import { EventClock } from "./EventClock.js";

const limitPerTarget = 2.5;
const warmUp = 5000;
const duration = 60_000;

/** How far an organisation's rate limit is off when every target holds its part of it. */
export interface LimitError {
    readonly targets: number;
    readonly burstSeconds: number;
    /** What the organisation sends, against its limit. */
    readonly offered: number;
    /** What is admitted, against what the limit allows of it. */
    readonly admitted: number;
}

/** Measures the error for some bursts and loads. @internal */
export function measureLimitErrors(seed: number): LimitError[] {
    const bursts = [1, 2, 5, 10];
    const loads = [0.7, 0.9, 1, 2];
    return bursts.flatMap(burstSeconds => loads.map(load => measureLimitError(40, burstSeconds, load, seed)));
}

/** Sends Poisson arrivals to targets at random, each of which admits its part of the limit. @internal */
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
