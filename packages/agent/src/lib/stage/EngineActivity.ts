import { type Engine } from "@waxwingspar/engine";
import { type Clock } from "@waxwingspar/utils";
import { callEngine } from "../callEngine.js";

/** Milliseconds to read data that has already arrived at the socket. */
const socketReadTime = 1;

/** @internal */
export interface EngineActivityOptions {
    readonly engine: Pick<Engine, "info">;
    readonly clock: Clock;
    /** Milliseconds within which a live engine answers a query. */
    readonly answerTime: number;
}

/**
 * Tracks whether the engine is alive. A step that takes long while other steps finish, or while the engine answers
 * queries, indicates a busy engine and not a hung one. Failing its attempts would move the load to other targets and
 * worsen the overload.
 *
 * @internal
 */
export class EngineActivity {
    private lastFinished = Number.NEGATIVE_INFINITY;
    private question: Promise<boolean> | undefined;

    constructor(private readonly options: EngineActivityOptions) {}

    stepFinished(): void {
        this.lastFinished = this.options.clock.now();
    }

    /** Milliseconds since any step finished. */
    get idle(): number {
        return this.options.clock.now() - this.lastFinished;
    }

    /** Queries whether the engine responds. Concurrent calls share one query. */
    isAlive(): Promise<boolean> {
        this.question ??= this.ask();
        return this.question;
    }

    private async ask(): Promise<boolean> {
        const { engine, clock, answerTime } = this.options;
        const answer = callEngine(() => engine.info()).then(outcome => outcome.isOk);
        const silence = new Promise<boolean>(resolve => {
            // After a pause of this process, expired timers run before sockets are read. The second timer leaves time
            // to read an answer that has already arrived.
            const expire = (): void => void clock.schedule(() => resolve(false), socketReadTime);
            const timer = clock.schedule(expire, answerTime);
            void answer.then(() => timer.cancel());
        });
        const alive = await Promise.race([answer, silence]);
        this.question = undefined;
        return alive;
    }
}
