import { type HistoryLine, readHistory } from "@waxwingspar/history";

/**
 * Counts the orders that were sent to a target after it had carried out one with a higher fence. Each of them was
 * refused if the rule `orders` holds.
 *
 * @internal
 */
export async function countStaleOrders(files: readonly string[]): Promise<number> {
    const issued: HistoryLine[] = [];
    const applied: HistoryLine[] = [];
    for (const file of files) {
        await readHistory(file, line => {
            if (line.body.event === "order.issued") {
                issued.push(line);
            }
            else if (line.body.event === "order.applied") {
                applied.push(line);
            }
        });
    }
    const raised = new Map<string, { readonly fence: number; readonly time: number; }[]>();
    for (const { body, time } of applied) {
        if (body.event === "order.applied") {
            const known = raised.get(body.target) ?? [];
            if (body.fence > (known.at(-1)?.fence ?? -1)) {
                raised.set(body.target, [...known, { fence: body.fence, time }]);
            }
        }
    }
    return issued.filter(({ body, time }) =>
        body.event === "order.issued"
        && (raised.get(body.target) ?? []).some(higher => higher.fence > body.fence && higher.time < time)
    ).length;
}
