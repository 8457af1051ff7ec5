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
    /** Milliseconds in which an accepted revision must be in force on every live process; 4000 by default. */
    readonly configurationBound?: number;
    /** Revisions up to this one were accepted before the history began; 0 by default. */
    readonly baseRevision?: number;
    /** Processes that must have configuration; without it, those that recorded `config.applied`. */
    readonly configured?: readonly string[];
    /** Names of processes and targets of which whole histories may be missing, such as those that a test killed. */
    readonly lost?: readonly string[];
}

/**
 * What the check of a history found.
 *
 * @public
 */
export interface HistoryReport {
    /** How many lines were read. */
    readonly lines: number;
    /** How many incarnations recorded them. */
    readonly incarnations: number;
    /** Incarnations whose history lacks its end, as `PROCESS INCARNATION`. */
    readonly incomplete: readonly string[];
    /** How many lines each event has. */
    readonly events: Readonly<Partial<Record<HistoryEvent["event"], number>>>;
    /** How many tokens were delivered. */
    readonly tokens: number;
    /** What each rule decided. A rule without any case has not been tested by this history. */
    readonly rules: Readonly<Record<HistoryRule, RuleCount>>;
    readonly violations: readonly Violation[];
}

/**
 * Checks the history of a concurrent run, one line after the other.
 *
 * The lines of one incarnation must come in their order; those of different ones may come in any order, file after
 * file. The order of events across processes is judged only by request, epoch and position.
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

    /** Decides every rule. To be called once, when all lines have been taken. */
    finish(): HistoryReport {
        const findings = new Findings();
        this.rules.forEach(rule => rule.decide(this.recordings, findings));
        const all = [...this.recordings.all()];
        return {
            lines: this.lines,
            incarnations: all.length,
            incomplete: all.filter(recording => !this.recordings.isWhole(recording))
                .map(({ process, incarnation }) => `${process} ${incarnation}`),
            events: Object.fromEntries(this.events),
            tokens: this.tokens,
            rules: findings.counts,
            violations: findings.violations,
        };
    }
}

/**
 * Checks a history that is in memory. See {@link HistoryChecker} for the order of its lines.
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
 * @param options - Bounds, and what is known to be lost.
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
