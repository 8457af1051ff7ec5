import { type Clock, type Timer } from "@waxwingspar/utils";
import { type OwnSlots } from "./OwnSlots.js";
import { type SlotGroup } from "./SlotGroup.js";
import { type SlotCounts, type SlotReport } from "./slotMessage.js";
import { type SlotHead } from "./SlotPool.js";

/** Options of {@link SlotReports}. */
export interface SlotReportsOptions {
    readonly clock: Clock;
    readonly group: SlotGroup;
    readonly own: OwnSlots;
    readonly incarnation: string;
    /** Whether anything is sent. */
    readonly isOn: () => boolean;
    /** The number of the next call. */
    readonly next: () => number;
    /** The numbers of the calls to an issuer that are not decided. */
    readonly pending: (issuer: string) => readonly number[];
}

/** Milliseconds within which freed slots are reported, all together. */
const batchTime = 20;
/** Milliseconds between two reports while more requests are in flight than may be sent without asking. */
const reportInterval = 500;
/** Milliseconds between two checks whether another gateway has become the issuer. */
const checkInterval = 100;
/** Maximum heads and calls in a message, so that it stays below 1,200 bytes. */
const maxHeads = 10;
const maxPending = 40;

/**
 * Tells issuers how many requests this gateway has in flight on their heads. Below its local quotas it sends nothing.
 * Counts are absolute, so that lost, late and duplicate messages correct themselves.
 */
export class SlotReports {
    private sequence = 0;
    /** Data centres with heads on which slots were freed. */
    private readonly changed = new Set<string>();
    private batch: Timer | undefined;
    private isChecking = false;
    /** The issuers that know of slots, and when they were last told, by data centre. */
    private readonly told = new Map<string, { readonly issuer: string; readonly at: number; }>();

    constructor(private readonly options: SlotReportsOptions) {}

    /** The counts for an issuer, to be sent at once. */
    counts(issuer: string, pool: readonly SlotHead[] = []): SlotCounts {
        const { clock, group, own, incarnation, next, pending } = this.options;
        const at = clock.now();
        const heads = own.counts(({ dataCentre }) => group.findIssuer(dataCentre) === issuer, pool, maxHeads);
        const numbers = pending(issuer);
        const listed = numbers.slice(0, maxPending);
        this.noteTold(issuer, at);
        this.watch();
        return {
            from: group.address,
            incarnation,
            home: group.dataCentre,
            sequence: ++this.sequence,
            heads,
            // Calls that are not listed count as later ones.
            next: numbers.length > maxPending ? (listed.at(-1) ?? 0) + 1 : next(),
            pending: listed,
        };
    }

    /** Reports soon that slots were freed or that a call has ended without a reply. */
    noteChange(dataCentre: string): void {
        this.changed.add(dataCentre);
        this.batch ??= this.options.clock.schedule(() => {
            this.batch = undefined;
            const issuers = [...this.changed].map(name => this.options.group.findIssuer(name));
            this.changed.clear();
            new Set(issuers).forEach(issuer => this.report(issuer));
        }, batchTime);
    }

    private report(issuer: string): void {
        const { group, isOn } = this.options;
        if (issuer !== group.address && isOn()) {
            const report: SlotReport = { jsonrpc: "2.0", method: "reportSlots", params: this.counts(issuer) };
            group.send(issuer, JSON.stringify(report));
        }
    }

    private noteTold(issuer: string, at: number): void {
        const { group } = this.options;
        for (const dataCentre of new Set(this.options.own.aboveQuota.map(head => head.dataCentre))) {
            if (group.findIssuer(dataCentre) === issuer) {
                this.told.set(dataCentre, { issuer, at });
            }
            if (issuer === group.findIssuer(dataCentre)) {
                this.changed.delete(dataCentre);
            }
        }
    }

    /** Reports to new issuers, and regularly, while more requests are in flight than may be sent without asking. */
    watch(): void {
        if (this.isChecking || !this.options.isOn()) {
            return;
        }
        this.isChecking = true;
        this.options.clock.schedule(() => {
            this.isChecking = false;
            const { clock, group, own } = this.options;
            const dataCentres = new Set(own.aboveQuota.map(({ dataCentre }) => dataCentre));
            const due = [...dataCentres].map(name => [name, group.findIssuer(name)] as const).filter(
                ([name, issuer]) => {
                    const told = this.told.get(name);
                    return told?.issuer !== issuer || told.at <= clock.now() - reportInterval;
                },
            );
            new Set(due.map(([, issuer]) => issuer)).forEach(issuer => this.report(issuer));
            if (dataCentres.size > 0) {
                this.watch();
            }
        }, checkInterval);
    }
}
