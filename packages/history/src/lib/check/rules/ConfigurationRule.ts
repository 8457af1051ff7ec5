import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { getIncarnationKey, type Recording, type Recordings } from "../Recordings.js";
import { addTo, type Rule } from "../Rule.js";

interface AcceptedRevision {
    readonly revision: number;
    readonly time: number;
    readonly line: LineReference;
}

interface AppliedRevision {
    readonly revision: number;
    readonly time: number;
    readonly line: HistoryLine;
}

/** @internal */
export interface ConfigurationBounds {
    /** Milliseconds within which an accepted revision must be in force on every live process. */
    readonly bound: number;
    /** Revisions up to this one were accepted before the history began. */
    readonly baseRevision: number;
    /** Processes that must apply configuration, even if they recorded no `config.applied`. */
    readonly configured: readonly string[];
}

/**
 * Each process applies only accepted revisions, in ascending order. A revision has the same content on every process,
 * and is in force on every live process within the bound.
 *
 * @internal
 */
export class ConfigurationRule implements Rule {
    private readonly accepted: AcceptedRevision[] = [];
    private readonly applied = new Map<string, AppliedRevision[]>();
    private readonly digests = new Map<number, { readonly digest: string; readonly line: LineReference; }>();
    private readonly digestFindings: Finding[] = [];

    constructor(private readonly bounds: ConfigurationBounds) {}

    take(line: HistoryLine): void {
        const { body } = line;
        if (body.event === "config.accepted") {
            this.accepted.push({ revision: body.revision, time: line.time, line: referenceTo(line) });
        }
        else if (body.event === "config.applied") {
            addTo(this.applied, getIncarnationKey(line), { revision: body.revision, time: line.time, line });
            this.checkDigest(body.revision, body.digest, referenceTo(line));
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        this.digestFindings.forEach(finding => findings.addViolation("configuration", finding));
        this.accepted.sort((a, b) => a.revision - b.revision);
        const accepted = new Set(this.accepted.map(({ revision }) => revision));
        for (const recording of recordings.all()) {
            const applied = this.applied.get(getIncarnationKey(recording)) ?? [];
            if (applied.length > 0) {
                this.decideOrder(applied, accepted, recordings, findings);
            }
            if (applied.length > 0 || this.bounds.configured.includes(recording.process)) {
                this.decideBound(applied, recording, recordings, findings);
            }
        }
    }

    private checkDigest(revision: number, digest: string, line: LineReference): void {
        const known = this.digests.get(revision);
        if (known === undefined) {
            this.digests.set(revision, { digest, line });
        }
        else if (known.digest !== digest) {
            const message = `revision ${revision} has digest ${known.digest} in one line and ${digest} in another`;
            this.digestFindings.push({ message, lines: [known.line, line] });
        }
    }

    /** Checks that the revisions applied by one incarnation ascend and were accepted. */
    private decideOrder(
        applied: readonly AppliedRevision[],
        accepted: ReadonlySet<number>,
        recordings: Recordings,
        findings: Findings,
    ): void {
        const found: Finding[] = [];
        let decidable = true;
        for (const [index, { revision, line }] of applied.entries()) {
            const before = applied[index - 1];
            if (before !== undefined && revision <= before.revision) {
                const message = `${line.process} went from revision ${before.revision} to ${revision}`;
                found.push({ message, lines: [referenceTo(before.line), referenceTo(line)] });
            }
            if (revision <= this.bounds.baseRevision || accepted.has(revision)) {
                continue;
            }
            if (recordings.areNonAgentsComplete()) {
                const message = `${line.process} applied revision ${revision}, which was never accepted`;
                found.push({ message, lines: [referenceTo(line)] });
            }
            else {
                decidable = false;
            }
        }
        findings.addCase("configuration", found, decidable);
    }

    /** Checks for each accepted revision whether one incarnation had it in force within the bound. */
    private decideBound(
        applied: readonly AppliedRevision[],
        recording: Recording,
        recordings: Recordings,
        findings: Findings,
    ): void {
        let index = 0;
        for (const accepted of this.accepted) {
            while ((applied[index]?.revision ?? Infinity) < accepted.revision) {
                index++;
            }
            const due = Math.max(accepted.time, recording.firstTime) + this.bounds.bound;
            const inForce = applied[index];
            if (inForce !== undefined && inForce.time <= due) {
                findings.countPassed("configuration");
            }
            else if (recording.lastTime >= due) {
                const message = `${recording.process} did not have revision ${accepted.revision} in force within `
                    + `${this.bounds.bound} ms`;
                const lines = inForce === undefined ? [] : [referenceTo(inForce.line)];
                findings.addViolation("configuration", { message, lines: [accepted.line, ...lines] });
            }
            else if (!recordings.isComplete(recording)) {
                findings.countUndecided("configuration");
            }
        }
    }
}
