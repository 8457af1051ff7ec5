import { type TableStore } from "@waxwingspar/stores";
import { type Clock } from "@waxwingspar/utils";

/** Delays the result of a promise until the process that awaits it is not paused. @internal */
export type WhenResumed = <T>(outcome: Promise<T>) => Promise<T>;

/** Wraps a store so that its responses reach a paused process only after it resumes. @internal */
export function pausableStore(store: TableStore, whenResumed: WhenResumed): TableStore {
    return {
        get era() {
            return store.era;
        },
        get: key => whenResumed(store.get(key)),
        scan: (prefix, after, limit) => whenResumed(store.scan(prefix, after, limit)),
        commit: transaction => whenResumed(store.commit(transaction)),
        findCommit: writeId => whenResumed(store.findCommit(writeId)),
    };
}

/** Wraps a clock that keeps running during a pause, while the timers of the process fire only after it. @internal */
export function pausableClock(clock: Clock, whenResumed: WhenResumed): Clock {
    return {
        now: () => clock.now(),
        date: () => clock.date(),
        schedule: (callback, delay) => clock.schedule(() => void whenResumed(Promise.resolve()).then(callback), delay),
    };
}
