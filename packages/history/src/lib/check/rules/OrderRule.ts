import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { keyOf, type Recordings } from "../Recordings.js";
import { addTo, type EventOf, type Rule } from "../Rule.js";

interface Applied {
    readonly event: EventOf<"order.applied">;
    readonly line: LineReference;
    /** Time that never goes back within one incarnation, to put incarnations of one target into their order. */
    readonly time: number;
}

/**
 * No target applies an order with a fence below one that it has applied, nor the same order twice.
 *
 * @internal
 */
export class OrderRule implements Rule {
    private readonly applied = new Map<string, Applied[]>();
    private readonly issuedTo = new Set<string>();
    private readonly latest = new Map<string, number>();

    take(line: HistoryLine): void {
        const { body } = line;
        if (body.event === "order.issued") {
            this.issuedTo.add(body.target);
        }
        if (body.event !== "order.applied") {
            return;
        }
        const key = keyOf(line);
        const time = Math.max(line.time, this.latest.get(key) ?? line.time);
        this.latest.set(key, time);
        addTo(this.applied, body.target, { event: body, line: referenceTo(line), time });
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const target of new Set([...this.applied.keys(), ...this.issuedTo])) {
            const sorted = (this.applied.get(target) ?? []).sort((a, b) => a.time - b.time);
            const whole = recordings.isTargetWhole(target);
            findings.decide("orders", [...findOldFences(target, sorted), ...findRepeats(target, sorted)], whole);
        }
    }
}

function findOldFences(target: string, applied: readonly Applied[]): Finding[] {
    const found: Finding[] = [];
    let highest: Applied | undefined;
    for (const order of applied) {
        if (highest !== undefined && order.event.fence < highest.event.fence) {
            const message = `target ${target} applied fence ${order.event.fence} after ${highest.event.fence}`;
            found.push({ message, lines: [highest.line, order.line] });
        }
        else {
            highest = order;
        }
    }
    return found;
}

function findRepeats(target: string, applied: readonly Applied[]): Finding[] {
    const orders = new Map<string, LineReference[]>();
    applied.forEach(({ event, line }) => addTo(orders, event.order, line));
    return [...orders].filter(([, lines]) => lines.length > 1).map(([order, lines]) => (
        { message: `target ${target} applied order ${order} ${lines.length} times`, lines }
    ));
}
