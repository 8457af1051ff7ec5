import { type HistoryLine } from "../../HistoryEvent.js";
import { type Findings, referenceTo } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { type Rule } from "../Rule.js";

/**
 * A planned stop interrupts no requests. A process that recorded no stop was killed or is still running.
 *
 * @internal
 */
export class StopRule implements Rule {
    private readonly stops: { readonly line: HistoryLine; readonly interrupted: number; }[] = [];

    take(line: HistoryLine): void {
        if (line.body.event === "process.stopped") {
            this.stops.push({ line, interrupted: line.body.interrupted });
        }
    }

    decide(_recordings: Recordings, findings: Findings): void {
        for (const { line, interrupted } of this.stops) {
            const message = `${line.process} stopped and interrupted ${interrupted} requests`;
            findings.addCase("stops", interrupted === 0 ? [] : [{ message, lines: [referenceTo(line)] }], true);
        }
    }
}
