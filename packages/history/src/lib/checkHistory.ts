import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { Findings, type HistoryRule, type RuleCount, type Violation } from "./check/Findings.js";
import { Recordings } from "./check/Recordings.js";
import { RequestIndex } from "./check/RequestIndex.js";
import { type Rule } from "./check/Rule.js";
import { AnswerRule } from "./check/rules/AnswerRule.js";
import { AtMostOnceRule } from "./check/rules/AtMostOnceRule.js";
import { ConfigurationRule } from "./check/rules/ConfigurationRule.js";
import { DeliveryRule } from "./check/rules/DeliveryRule.js";
import { LayerRule } from "./check/rules/LayerRule.js";
import { LeavingRule } from "./check/rules/LeavingRule.js";
import { NotRunRule } from "./check/rules/NotRunRule.js";
import { OrderRule } from "./check/rules/OrderRule.js";
import { StopRule } from "./check/rules/StopRule.js";
import { WorkIndex } from "./check/rules/WorkIndex.js";
import { WriteRule } from "./check/rules/WriteRule.js";
import { type HistoryEvent, type HistoryLine } from "./HistoryEvent.js";
import { readHistory } from "./recording/readHistory.js";

/**
 * Options of {@link checkHistory}.
 *
 * @public
 */
export interface CheckOptions {
    /** Milliseconds within which an accepted revision must be in force on every live process; 4000 by default. */
    readonly configurationBound?: number;
    /** Revisions up to this one were accepted before the history began; 0 by default. */
    readonly baseRevision?: number;
    /** Processes that must apply configuration, in addition to those that recorded `config.applied`. */
    readonly configured?: readonly string[];
    /** Names of processes and targets whose histories may be missing entirely, such as those that a test killed. */
    readonly lost?: readonly string[];
}

/**
 * Result of checking a history.
 *
 * @public
 */
export interface HistoryReport {
    /** Number of lines read. */
    readonly lines: number;
    /** Number of incarnations that recorded these lines. */
    readonly incarnations: number;
    /** Incarnations whose history is incomplete, as `PROCESS INCARNATION`. */
    readonly incomplete: readonly string[];
    /** Number of lines by event. */
    readonly events: Readonly<Partial<Record<HistoryEvent["event"], number>>>;
    /** Number of tokens delivered. */
    readonly tokens: number;
    /** Results by rule. This history does not exercise a rule that has no cases. */
    readonly rules: Readonly<Record<HistoryRule, RuleCount>>;
    readonly violations: readonly Violation[];
}

/**
 * Checks the history of a concurrent run, line by line.
 *
 * The lines of one incarnation must arrive in recorded order. Lines of different incarnations may be interleaved in any
 * way, also file by file. Events of different processes are ordered only by request, epoch and position.
 *
 * @example
 * ```ts
 * const checker = new HistoryChecker();
 * lines.forEach(line => checker.take(line));
 * const { violations } = checker.finish();
 * ```
 * @public
 */
export class HistoryChecker {
    private readonly recordings: Recordings;
    private readonly rules: readonly Rule[];
    private readonly events = new Map<HistoryEvent["event"], number>();
    private lines = 0;
    private tokens = 0;

    constructor({ configurationBound = 4000, baseRevision = 0, configured = [], lost = [] }: CheckOptions = {}) {
        this.recordings = new Recordings(lost);
        const index = new RequestIndex();
        const work = new WorkIndex();
        this.rules = [
            this.recordings,
            index,
            work,
            new LayerRule(index),
            new DeliveryRule(index),
            new AnswerRule(index),
            new NotRunRule(index, work),
            new AtMostOnceRule(index, work),
            new LeavingRule(),
            new StopRule(),
            new ConfigurationRule({ bound: configurationBound, baseRevision, configured }),
            new OrderRule(),
            new WriteRule(),
        ];
    }

    take(line: HistoryLine): void {
        const { body } = line;
        this.lines++;
        this.events.set(body.event, (this.events.get(body.event) ?? 0) + 1);
        if (body.event === "tokens.sent") {
            this.tokens += body.ids.length;
        }
        for (const rule of this.rules) {
            rule.take(line);
        }
    }

    /** Evaluates every rule. Call it once, after the last line. */
    finish(): HistoryReport {
        const findings = new Findings();
        this.rules.forEach(rule => rule.decide(this.recordings, findings));
        const all = [...this.recordings.all()];
        return {
            lines: this.lines,
            incarnations: all.length,
            incomplete: all.filter(recording => !this.recordings.isComplete(recording))
                .map(({ process, incarnation }) => `${process} ${incarnation}`),
            events: Object.fromEntries(this.events),
            tokens: this.tokens,
            rules: findings.counts,
            violations: findings.violations,
        };
    }
}

/**
 * Checks a history held in memory. See {@link HistoryChecker} for the required order of the lines.
 *
 * @public
 */
export function checkHistory(lines: Iterable<HistoryLine>, options: CheckOptions = {}): HistoryReport {
    const checker = new HistoryChecker(options);
    for (const line of lines) {
        checker.take(line);
    }
    return checker.finish();
}

/**
 * Checks the files of all processes of a run.
 *
 * @param paths - One file for each incarnation.
 * @param options - Time limits, and the histories that are known to be lost.
 * @returns A failure if a file cannot be read; see {@link readHistory}.
 * @public
 */
export async function checkHistoryFiles(
    paths: readonly string[],
    options: CheckOptions = {},
): Promise<Outcome<HistoryReport>> {
    const checker = new HistoryChecker(options);
    for (const path of paths) {
        const read = await readHistory(path, line => checker.take(line));
        if (read.isErr) {
            return Result.err(read.error);
        }
    }
    return Result.ok(checker.finish());
}
