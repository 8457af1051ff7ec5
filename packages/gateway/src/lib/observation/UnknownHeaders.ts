import { type Target } from "../directory/Target.js";
import { type Observation } from "./Observation.js";

/** Maximum number of names that are remembered. */
const maxNames = 50;

/**
 * Logs each header of targets' replies that this program does not know, once for each name. A target that says something
 * new about itself is noticed this way before somebody misses the effect.
 */
export class UnknownHeaders {
    private readonly names = new Set<string>();

    constructor(private readonly observation: Observation) {}

    /** Records the unknown headers of a reply. */
    record(target: Target, headers: readonly string[]): void {
        for (const header of headers) {
            if (!this.names.has(header) && this.names.size < maxNames) {
                this.names.add(header);
                this.observation.metrics.unknownHeaders.add({ header });
                this.observation.logs.targets.warn({ target: target.id, header }, "reply has an unknown header");
            }
        }
    }
}
