import { type Clock, readStateChart, StateChart } from "@waxwingspar/utils";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { ageOf, currentMoment, type Moment } from "../Moment.js";
import { type PeerGroup } from "../peers/PeerGroup.js";
import { type Store, type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { TableWatch } from "../store/TableWatch.js";

type LeaseState = "following" | "acquiring" | "holding" | "paused" | "ended";
type LeaseEvent =
    | "holderSilent"
    | "acquired"
    | "failed"
    | "superseded"
    | "unconfirmed"
    | "confirmed"
    | "released";

const chart = readStateChart<LeaseState, LeaseEvent>(new URL("./placementLease.json", import.meta.url));

const rowSchema = z.object({ holder: z.string(), incarnation: z.string(), term: z.number() });

/** Options of {@link PlacementLease}. */
export interface PlacementLeaseOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    readonly process: string;
    readonly incarnation: string;
    readonly peers: Pick<PeerGroup, "others">;
    readonly logger: Logger;
}

const table = "duties";
const key = "placement";
/** Milliseconds between two looks at who holds the duty. */
const checkInterval = 200;
/**
 * Milliseconds after the start, and after the loss of the duty, in which peers are heard before this process may take it: what one of
 * them tells comes through two relays, each of which waits for its next heartbeat.
 */
const startDelay = 1_000;
/** Milliseconds that the holder waits for another one's write in one call. */
const watchWait = 2_000;
/** Milliseconds since the store last confirmed the holder after which it gives no orders. */
const confirmationBound = 4_300;
/** Milliseconds before a try that failed is repeated. */
const retryDelay = 600;
/**
 * Milliseconds for which a process that did not reach the store leaves the duty to others. A process that relies on peers to follow
 * the store learns of that only when it tries.
 */
const cutOffTime = 3_000;

/**
 * The lease on the placement duty. Its row in the store names the holder and a term that grows with each one. Others
 * learn from heartbeats that the holder lives, so they need no call to the store; when the heartbeats end, the first of
 * the others by name writes itself into the row. Two may believe for a moment that they hold it: the targets' own
 * count of orders keeps their orders from mixing.
 */
export class PlacementLease {
    private readonly state = new StateChart<LeaseState, LeaseEvent>(chart);
    private heldTerm = 0;
    /** The highest term that was ever seen here: a copy that the store went back to may hold an older one. */
    private highestTerm = 0;
    private confirmedAt: Moment | undefined;
    private watch: TableWatch | undefined;
    private nextTry = 0;
    /** Until when this process counts as cut off from the store, since a try to take the duty found it so. */
    private cutOffUntil = -Infinity;

    constructor(private readonly options: PlacementLeaseOptions) {}

    /** The term while this process holds the duty. */
    get term(): number | undefined {
        return this.state.state === "holding" || this.state.state === "paused" ? this.heldTerm : undefined;
    }

    /** True while orders may be given: the store has confirmed the holder of late. */
    get isHeld(): boolean {
        return this.state.state === "holding" && this.confirmationAge < confirmationBound;
    }

    private get confirmationAge(): number {
        return this.confirmedAt === undefined ? Infinity : ageOf(this.confirmedAt, this.options.clock);
    }

    /** False for a while after a try that did not reach the store: another process should try. */
    get mayAcquire(): boolean {
        return this.options.clock.now() >= this.cutOffUntil;
    }

    start(): void {
        this.nextTry = this.options.clock.now() + startDelay;
        this.check();
    }

    /** Gives the duty up; a peer takes it when the heartbeats no longer claim it. */
    release(): void {
        this.watch?.stop();
        this.state.send("released");
    }

    private check(): void {
        if (this.state.state === "ended") {
            return;
        }
        const now = this.options.clock.now();
        if (this.state.state === "following" && now >= this.nextTry && this.isNext()) {
            void this.acquire();
        }
        if (this.state.state === "holding" && this.confirmationAge > confirmationBound) {
            this.state.send("unconfirmed");
            this.options.logger.warn({ term: this.heldTerm, age: Math.round(this.confirmationAge) }, "duty paused");
        }
        this.options.clock.schedule(() => this.check(), checkInterval);
    }

    /** True if no living peer holds the duty, and none that could take it comes before this process. */
    private isNext(): boolean {
        const { peers, process } = this.options;
        const { dutyTerm, firstCandidate } = peers.others;
        return dutyTerm === undefined && (firstCandidate === undefined || firstCandidate >= process);
    }

    private async acquire(): Promise<void> {
        const { store, process, incarnation, clock, logger } = this.options;
        this.state.send("holderSilent");
        this.nextTry = clock.now() + retryDelay;
        const asked = currentMoment(clock);
        const current = await store.read(table);
        if (current.kind !== "read") {
            logger.info({ result: current.kind }, "duty not taken");
            this.cutOffUntil = clock.now() + cutOffTime;
            this.state.send("failed");
            return;
        }
        const row = current.rows.find(row => row.key === key);
        const known = Math.max(this.highestTerm, this.options.peers.others.dutyTerm ?? 0);
        const term = Math.max(readTerm(row) ?? 0, known) + 1;
        const value = { holder: process, incarnation, term };
        const written = await store.write({ table, key, value, expectedVersion: row?.version ?? 0 });
        if (written.kind !== "written") {
            // A write without a reply may yet take effect; the next try reads what is there.
            logger.info({ term, result: written.kind }, "duty not taken");
            this.state.send("failed");
            return;
        }
        if (this.state.send("acquired")) {
            this.heldTerm = term;
            this.highestTerm = term;
            this.confirmedAt = asked;
            logger.info({ term }, "duty taken");
            this.followRow();
        }
    }

    private followRow(): void {
        const { clock, store } = this.options;
        this.watch?.stop();
        const watch = new TableWatch({
            clock,
            store,
            table,
            wait: watchWait,
            eras: this.options.eras,
            onSnapshot: (rows, _graceEnd, isRestored) => {
                if (isRestored) {
                    void this.restore(rows.find(row => row.key === key), watch);
                }
                else {
                    this.judge(rows, watch);
                }
            },
            onChanges: changes => this.judge(changes.flatMap(({ row }) => row ?? []), watch),
            onConfirmed: after => this.confirm(after, watch),
        });
        this.watch = watch;
        void watch.run();
    }

    /**
     * The store went back to a copy. The holder writes itself into the row again, under the term that it has, unless another one took
     * the duty since under a higher one. Until that is done the store confirms nothing, so the age of its last word ends the orders.
     */
    private async restore(row: StoredRow | undefined, watch: TableWatch): Promise<void> {
        const { store, process, incarnation, logger } = this.options;
        if (this.watch !== watch || (readTerm(row) ?? 0) >= this.heldTerm) {
            this.judge(row === undefined ? [] : [row], watch);
            return;
        }
        const value = { holder: process, incarnation, term: this.heldTerm };
        const written = await store.write({ table, key, value, expectedVersion: row?.version ?? 0 });
        logger.warn({ term: this.heldTerm, copy: readTerm(row), result: written.kind }, "duty written again");
        if (written.kind !== "written" && this.watch === watch) {
            this.followRow();
        }
    }

    private judge(rows: readonly StoredRow[], watch: TableWatch): void {
        const row = rows.findLast(row => row.key === key);
        const parsed = rowSchema.safeParse(row?.value);
        if (this.watch !== watch || !parsed.success) {
            return;
        }
        const { holder, incarnation, term } = parsed.data;
        this.highestTerm = Math.max(this.highestTerm, term);
        if (holder !== this.options.process || incarnation !== this.options.incarnation || term !== this.heldTerm) {
            watch.stop();
            // Whoever took the duty did not hear of this holder, so its own word may be under way just as long.
            this.nextTry = this.options.clock.now() + startDelay;
            this.state.send("superseded");
            this.options.logger.warn({ term: this.heldTerm, holder, newTerm: term }, "duty lost");
        }
    }

    private confirm(after: Moment, watch: TableWatch): void {
        if (this.watch === watch) {
            this.confirmedAt = after;
            if (this.state.send("confirmed")) {
                this.options.logger.info({ term: this.heldTerm }, "duty resumed");
            }
        }
    }
}

function readTerm(row: StoredRow | undefined): number | undefined {
    return rowSchema.safeParse(row?.value).data?.term;
}
