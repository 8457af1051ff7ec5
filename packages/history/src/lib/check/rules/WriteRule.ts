import { type HistoryLine } from "../../HistoryEvent.js";
import { type Findings, type LineReference, referenceTo } from "../Findings.js";
import { type Recordings } from "../Recordings.js";
import { addTo, type Rule } from "../Rule.js";

/**
 * A write to the store takes effect at most once.
 *
 * @internal
 */
export class WriteRule implements Rule {
    private readonly effects = new Map<string, LineReference[]>();

    take(line: HistoryLine): void {
        if (line.body.event === "write.effect") {
            addTo(this.effects, line.body.writeId, referenceTo(line));
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        const decidable = recordings.areNonAgentsComplete();
        for (const [writeId, lines] of this.effects) {
            const message = `write ${writeId} took effect ${lines.length} times`;
            findings.addCase("writes", lines.length > 1 ? [{ message, lines }] : [], decidable);
        }
    }
}
