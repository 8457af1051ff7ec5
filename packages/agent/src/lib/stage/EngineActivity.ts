import { type Engine } from "@waxwingspar/engine";
import { type Clock } from "@waxwingspar/utils";
import { guarded } from "../guarded.js";

/** Milliseconds for what has arrived to be read. */
const readTime = 1;

/** @internal */
export interface EngineActivityOptions {
    readonly engine: Pick<Engine, "info">;
    readonly clock: Clock;
    /** Milliseconds in which an engine that lives answers a question. */
    readonly answerTime: number;
}

/**
 * Signs of life of the engine. A step that takes long while others finish, or while the engine answers, means a busy
 * engine and not one that hangs; failing its attempts would move the load to other targets and make matters worse.
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

    /** Asks the engine for a sign of life. Questions at the same time are one. */
    isAlive(): Promise<boolean> {
        this.question ??= this.ask();
        return this.question;
    }

    private async ask(): Promise<boolean> {
        const { engine, clock, answerTime } = this.options;
        const answer = guarded(() => engine.info()).then(outcome => outcome.isOk);
        const silence = new Promise<boolean>(resolve => {
            // After a pause of this process timers run before sockets are read; the second one lets the answer in first.
            const expire = (): void => void clock.schedule(() => resolve(false), readTime);
            const timer = clock.schedule(expire, answerTime);
            void answer.then(() => timer.cancel());
        });
        const alive = await Promise.race([answer, silence]);
        this.question = undefined;
        return alive;
    }
}
