import { type Clock, sleep } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type StoreEras } from "../store/StoreEras.js";

/** Options of {@link EraDoubt}. */
export interface EraDoubtOptions {
    readonly clock: Clock;
    readonly eras: StoreEras;
    /**
     * Reads from the store in which eras processes have confirmed the configuration. Undefined if it cannot be read.
     */
    readonly readEras: () => Promise<readonly number[] | undefined>;
    readonly logger: Logger;
    /** The configuration may be confirmed from now on. */
    readonly onSettled: () => void;
}

/** Milliseconds between two reads while nobody has confirmed the configuration in the store's era. */
const readInterval = 500;
/** Milliseconds after which the first read is repeated: its answer may be lost, and callers wait for this process. */
const firstReadInterval = 120;
/**
 * Milliseconds after which the doubt ends by itself, because nobody who knows better may be alive. Operators and running
 * gateways have written again by then.
 */
const maxDoubt = 5_050;

/**
 * Decides whether a process that has just started may take the store's configuration for the newest one. It sees only
 * the current era, so the store may just have come back from a copy. Processes that confirm a configuration write the
 * era into their rows; the copy of an earlier era lacks that, so the process waits until one of them, or a
 * heartbeat, names the current era.
 */
export class EraDoubt {
    private isSettled = false;
    private isStopped = false;
    /** The newest era in which a process is known to have confirmed the configuration. */
    private newest: number | undefined;
    /** When the current era was first seen, on the clock. */
    private seenAt: number | undefined;

    constructor(private readonly options: EraDoubtOptions) {
        options.eras.onNewEra(() => {
            this.seenAt = undefined;
        });
    }

    /** The newest era in which a process is known to have confirmed the configuration. */
    get confirmedEra(): number | undefined {
        return this.newest;
    }

    /** Whether the configuration must not be confirmed yet. Called when the store or a peer has confirmed its table. */
    get isOpen(): boolean {
        const { eras: { current }, clock } = this.options;
        if (this.isSettled || current === undefined) {
            return false;
        }
        if (this.seenAt === undefined) {
            this.seenAt = clock.now();
            clock.schedule(() => this.endIfDue(), maxDoubt);
        }
        return true;
    }

    /** Reads the eras of other processes until the doubt has ended. */
    async run(): Promise<void> {
        for (let interval = firstReadInterval; !this.isSettled && !this.isStopped; interval = readInterval) {
            void this.read();
            await sleep(this.options.clock, interval);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Records that a process has confirmed the configuration in an era. */
    note(era: number | undefined): void {
        if (era === undefined || era <= (this.newest ?? -Infinity)) {
            return;
        }
        this.newest = era;
        if (era >= (this.options.eras.current ?? Infinity)) {
            this.settle();
        }
    }

    private async read(): Promise<void> {
        const found = await this.options.readEras();
        if (found !== undefined) {
            this.noteAll(found);
        }
    }

    /** A store without rows of such processes, or without eras, gives no reason for doubt. */
    private noteAll(found: readonly number[]): void {
        found.forEach(era => this.note(era));
        const { eras: { current }, logger } = this.options;
        if (this.isSettled) {
            return;
        }
        if (this.newest === undefined || current === undefined || this.newest >= current) {
            this.settle();
            return;
        }
        logger.info({ era: current, confirmed: this.newest }, "nobody has confirmed the configuration in this era");
    }

    private endIfDue(): void {
        const { clock, eras, logger } = this.options;
        if (this.isSettled || this.isStopped || this.seenAt === undefined || clock.now() - this.seenAt < maxDoubt) {
            return;
        }
        logger.warn(
            { era: eras.current, confirmed: this.newest },
            "configuration taken from the store, though nobody has confirmed it in this era",
        );
        this.settle();
    }

    private settle(): void {
        this.isSettled = true;
        this.options.onSettled();
    }
}
