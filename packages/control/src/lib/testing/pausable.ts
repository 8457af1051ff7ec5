import { type TableStore } from "@waxwingspar/stores";
import { type Clock } from "@waxwingspar/utils";

/** Holds an answer back while the process that waits for it is paused. @internal */
export type Awake = <T>(outcome: Promise<T>) => Promise<T>;

/** A store whose answers reach a paused process only when it goes on. @internal */
export function pausableStore(store: TableStore, awake: Awake): TableStore {
    return {
        get era() {
            return store.era;
        },
        get: key => awake(store.get(key)),
        scan: (prefix, after, limit) => awake(store.scan(prefix, after, limit)),
        commit: transaction => awake(store.commit(transaction)),
        findCommit: writeId => awake(store.findCommit(writeId)),
    };
}

/** A clock that goes on during a pause, while the timers of the paused process fire only after it. @internal */
export function pausableClock(clock: Clock, awake: Awake): Clock {
    return {
        now: () => clock.now(),
        date: () => clock.date(),
        schedule: (callback, delay) => clock.schedule(() => void awake(Promise.resolve()).then(callback), delay),
    };
}
