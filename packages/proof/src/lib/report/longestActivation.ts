import { readHistory } from "@waxwingspar/history";

/**
 * Returns the longest time in milliseconds from the acceptance of a revision until a daemon applied it, over all
 * revisions accepted during the run and all daemons; undefined if none was accepted.
 *
 * @internal
 */
export async function longestActivation(files: readonly string[]): Promise<number | undefined> {
    const accepted = new Map<number, number>();
    const applied = new Map<number, number>();
    for (const file of files) {
        await readHistory(file, ({ body, time }) => {
            if (body.event === "config.accepted") {
                accepted.set(body.revision, time);
            }
            else if (body.event === "config.applied") {
                applied.set(body.revision, Math.max(time, applied.get(body.revision) ?? 0));
            }
        });
    }
    const times = [...accepted].map(([revision, time]) => (applied.get(revision) ?? time) - time);
    return times.length === 0 ? undefined : Math.max(...times);
}
