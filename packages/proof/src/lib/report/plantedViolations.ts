import { type HistoryLine, type HistoryRule } from "@waxwingspar/history";

/** A violation planted in the history of a run, which one rule must report. @internal */
export interface PlantedViolation {
    readonly rule: HistoryRule;
    readonly description: string;
    /** Returns the changed history; undefined if it has no line to which the change applies. */
    readonly apply: (lines: readonly HistoryLine[]) => HistoryLine[] | undefined;
}

type Body = HistoryLine["body"];
type EventOf<E extends Body["event"]> = Extract<Body, { event: E; }>;
type LineOf<E extends Body["event"]> = HistoryLine & { readonly body: EventOf<E>; };

function isLine<E extends Body["event"]>(line: HistoryLine, event: E): line is LineOf<E> {
    return line.body.event === event;
}

/** Finds the middle one of all matching lines of an event. */
function findMiddle<E extends Body["event"]>(
    lines: readonly HistoryLine[],
    event: E,
    matches: (body: EventOf<E>) => boolean = () => true,
): LineOf<E> | undefined {
    const found = lines.filter((line): line is LineOf<E> => isLine(line, event) && matches(line.body));
    return found[found.length >> 1];
}

/** Renumbers the lines of each incarnation, so that only the planted violation is detected. */
function renumber(lines: readonly HistoryLine[]): HistoryLine[] {
    const next = new Map<string, number>();
    return lines.map(line => {
        const sequence = next.get(line.incarnation) ?? 0;
        next.set(line.incarnation, sequence + 1);
        return { ...line, sequence };
    });
}

/** Replaces one line by others and renumbers the lines. */
function replaceLine(
    lines: readonly HistoryLine[],
    old: HistoryLine | undefined,
    replacement: (line: HistoryLine) => HistoryLine[],
): HistoryLine[] | undefined {
    return old === undefined ? undefined : renumber(lines.flatMap(line => line === old ? replacement(line) : [line]));
}

function changeLine<E extends Body["event"]>(
    lines: readonly HistoryLine[],
    old: LineOf<E> | undefined,
    change: Partial<EventOf<E>>,
): HistoryLine[] | undefined {
    return replaceLine(lines, old, line => [{ ...line, body: { ...line.body, ...change } }]);
}

function findDeliveredRequests(lines: readonly HistoryLine[]): Set<string> {
    return new Set(lines.flatMap(line => isLine(line, "tokens.sent") ? [line.body.request] : []));
}

/** Copies a work.accepted line of a leaving target to a time after the bound of its `target.leaving` event. */
function acceptWorkAfterBound(lines: readonly HistoryLine[]): HistoryLine[] | undefined {
    const leaving = lines.filter(line => isLine(line, "target.leaving"))
        .find(({ body }) => lines.some(line => isLine(line, "work.accepted") && line.body.target === body.target));
    const accepted = lines.find(line => isLine(line, "work.accepted") && line.body.target === leaving?.body.target);
    if (leaving === undefined || accepted === undefined) {
        return undefined;
    }
    const late = { ...accepted, incarnation: leaving.incarnation, time: leaving.time + leaving.body.bound + 1 };
    return replaceLine(lines, leaving, line => [line, late]);
}

/** Violations of every rule that are planted in the history of a real run. @internal */
export const plantedViolations: readonly PlantedViolation[] = [
    {
        rule: "recording",
        description: "one line of an agent is dropped",
        apply(lines) {
            const dropped = findMiddle(lines, "layers.run");
            return dropped === undefined ? undefined : lines.filter(line => line !== dropped);
        },
    },
    {
        rule: "layers",
        description: "one run of layers of a delivered answer is dropped",
        apply(lines) {
            const delivered = findDeliveredRequests(lines);
            const matches = ({ request, position, count }: EventOf<"layers.run">) =>
                delivered.has(request) && position > 0 && count === 1;
            return replaceLine(lines, findMiddle(lines, "layers.run", matches), () => []);
        },
    },
    {
        rule: "layers",
        description: "one run of layers is repeated",
        apply: lines => replaceLine(lines, findMiddle(lines, "layers.run"), line => [line, line]),
    },
    {
        rule: "delivery",
        description: "tokens are sent twice to a caller",
        apply: lines => replaceLine(lines, findMiddle(lines, "tokens.sent"), line => [line, line]),
    },
    {
        rule: "answers",
        description: "a caller receives a different text",
        apply: lines =>
            changeLine(lines, findMiddle(lines, "caller.ended", end => end.outcome === "completed"), { digest: "0" }),
    },
    {
        rule: "not-run",
        description: "a request that ran is reported as not run",
        apply(lines) {
            const ran = new Set(lines.flatMap(line => isLine(line, "service.run") ? [line.body.request] : []));
            return changeLine(lines, findMiddle(lines, "request.ended", end => ran.has(end.request)), {
                outcome: "not run",
            });
        },
    },
    {
        rule: "at-most-once",
        description: "the service runs twice under one idempotency key",
        apply: lines =>
            replaceLine(
                lines,
                findMiddle(lines, "service.effect", ({ key }) => key !== undefined),
                line => [line, line],
            ),
    },
    {
        rule: "leaving",
        description: "a leaving target accepts work after its bound",
        apply: acceptWorkAfterBound,
    },
    {
        rule: "stops",
        description: "a planned stop interrupts a request",
        apply: lines => changeLine(lines, findMiddle(lines, "process.stopped"), { interrupted: 1 }),
    },
    {
        rule: "configuration",
        description: "one process has a different configuration under the same revision",
        apply: lines => changeLine(lines, findMiddle(lines, "config.applied"), { digest: "0" }),
    },
    {
        rule: "orders",
        description: "a target applies an order with an older fencing token",
        apply: lines =>
            replaceLine(lines, findMiddle(lines, "order.applied"), line => [
                line,
                { ...line, body: { ...line.body, order: "planted", fence: 0 } as Body },
            ]),
    },
    {
        rule: "writes",
        description: "a write takes effect twice",
        apply: lines => replaceLine(lines, findMiddle(lines, "write.effect"), line => [line, line]),
    },
];
