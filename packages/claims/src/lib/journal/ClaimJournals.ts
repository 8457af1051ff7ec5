import { type ObjectStore, type TableStore, TokenBucket } from "@waxwingspar/stores";
import { type Clock, type Outcome, type Random } from "@waxwingspar/utils";
import { type Claim, type ClaimRequest, type Claims } from "../Claims.js";
import { type ReportedClaim, type ReportRequest } from "../recovery/ClaimReport.js";
import { partitionOf } from "../routing/partitionOf.js";
import { ClaimJournal, type ClaimJournalOptions } from "./ClaimJournal.js";

/**
 * Options of {@link ClaimJournals}.
 *
 * @public
 */
export interface ClaimJournalsOptions {
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly clock: Clock;
    readonly random: Random;
    /**
     * Number of partitions of the key space. Must be the same in every process, and must not change while claims are
     * kept.
     */
    readonly partitions?: number;
    /** Writes per second for the claims of all partitions together. */
    readonly writesPerSecond?: number;
    /** Options of each partition's journal. */
    readonly journal?: Partial<ClaimJournalOptions>;
}

const defaults = {
    partitions: 32,
    writesPerSecond: 200,
};

/**
 * Milliseconds for which the claims of a partition that another process now serves are still reported. Longer than the
 * age of any copy from which the store is restored.
 */
const retiredRetention = 600_000;

/** The reportable claims of a journal that was closed. */
interface RetiredJournal {
    readonly series: string;
    readonly claims: readonly ReportedClaim[];
    /** Clock time in milliseconds from which the claims are dropped. */
    readonly expiry: number;
}

/**
 * The journals of the partitions that this process serves, opened on first use. They share one write rate, which is
 * proportional to the number of open journals, so that a busy partition may use the share of idle ones.
 *
 * @public
 */
export class ClaimJournals implements Claims {
    private readonly options: ClaimJournalsOptions & typeof defaults;
    private readonly journals = new Map<number, ClaimJournal>();
    private retired: readonly RetiredJournal[] = [];
    private readonly bucket: TokenBucket;

    constructor(options: ClaimJournalsOptions) {
        this.options = { ...defaults, ...options };
        this.bucket = new TokenBucket({ clock: options.clock, rate: this.rate(1) });
    }

    /** The number of claims in all open partitions. */
    get size(): number {
        return [...this.journals.values()].reduce((sum, journal) => sum + journal.size, 0);
    }

    /** The number of partitions of the key space. */
    get partitions(): number {
        return this.options.partitions;
    }

    /** The partitions that are open. */
    get open(): readonly number[] {
        return [...this.journals.keys()];
    }

    acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        return this.journalOf(request).acquire(request);
    }

    move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>> {
        return this.journalOf(request).move(claim, request);
    }

    /** The claims of earlier eras of the store that this process knows. */
    report({ series, before }: ReportRequest): readonly ReportedClaim[] {
        this.forgetRetired();
        const open = [...this.journals.values()].filter(journal => journal.series === series);
        const retired = this.retired.filter(journal => journal.series === series);
        return [...retired.flatMap(({ claims }) => claims), ...open.flatMap(journal => journal.report())]
            .filter(({ generation }) => generation < before);
    }

    /** Loads a partition that this process is about to serve. */
    load(partition: number): Promise<Outcome<void>> {
        return this.journal(partition).load();
    }

    /** Closes the partitions that this process no longer serves, except those with waiting calls. */
    keepOnly(partitions: ReadonlySet<number>): void {
        for (const [partition, journal] of this.journals) {
            if (!partitions.has(partition) && journal.waiting === 0) {
                this.retire(journal);
                this.journals.delete(partition);
            }
        }
        this.forgetRetired();
        this.bucket.setRate(this.rate(Math.max(1, this.journals.size)));
    }

    private retire(journal: ClaimJournal): void {
        const expiry = this.options.clock.now() + retiredRetention;
        this.retired = [...this.retired, { series: journal.series, claims: journal.report(), expiry }];
    }

    private forgetRetired(): void {
        const now = this.options.clock.now();
        this.retired = this.retired.filter(({ expiry }) => expiry > now);
    }

    private journalOf(request: ClaimRequest): ClaimJournal {
        return this.journal(partitionOf(request, this.options.partitions));
    }

    private journal(partition: number): ClaimJournal {
        const known = this.journals.get(partition);
        if (known !== undefined) {
            return known;
        }
        const { table, objects, clock, random, journal } = this.options;
        const pace = () => this.bucket.take(Infinity) ?? 0;
        const opened = new ClaimJournal({ ...journal, partition, table, objects, clock, random, pace });
        this.journals.set(partition, opened);
        this.bucket.setRate(this.rate(this.journals.size));
        return opened;
    }

    private rate(journals: number): number {
        return this.options.writesPerSecond / this.options.partitions * journals;
    }
}
