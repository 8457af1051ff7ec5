import { type Address, type LinkPool } from "@waxwingspar/transport";
import { type Failure, failure, type Outcome, requestCodes, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import {
    claimReportSchema,
    type CollectReports,
    type ReportedClaim,
    reportMethodName,
    type ReportRequest,
} from "./ClaimReport.js";

/** A process that may know claims of an earlier era, or may still begin them. @public */
export interface ReportingProcess {
    readonly process: string;
    readonly address: Address;
    /** False for one that nothing shows to be running: it is left out when nobody listens at its address. */
    readonly isKnown: boolean;
}

/** Options of {@link createReportCollector}. @public */
export interface ReportCollectorOptions {
    /** Every other entry and agent; undefined while that is not known. */
    readonly processes: () => readonly ReportingProcess[] | undefined;
    /** The claims that this process knows itself. */
    readonly own: (request: ReportRequest) => readonly ReportedClaim[];
    readonly links: LinkPool;
    /** Milliseconds to wait for the answer of one process; below the patience of a call that waits for its claim. */
    readonly timeout?: number;
    /** Processes that are asked at the same time. */
    readonly concurrency?: number;
}

interface Answer {
    /** The start of the process that answered last; a later one has barred nothing yet. */
    readonly incarnation: string;
    /** What all its starts told. */
    readonly claims: readonly ReportedClaim[];
}

interface KnownAnswers {
    readonly before: number;
    /** By the names of processes. */
    readonly answers: Map<string, Answer>;
}

const defaults = { timeout: 800, concurrency: 64 };

/** Milliseconds after which a caller may come back: the list of processes lags by some seconds, a restart takes less. */
const retryAfter = 1_000;

/**
 * Asks all entries and agents for the claims that they know. One that does not answer may have begun a claim, or begin it later, so
 * nothing is settled without it until the list of processes has dropped it. A start of one that has answered is not asked again in the same era,
 * so that slow processes hold a look up one after the other at most.
 *
 * @public
 */
export function createReportCollector(options: ReportCollectorOptions): CollectReports {
    const { processes, own, links, timeout, concurrency } = { ...defaults, ...options };
    /** What processes have answered so far, by series, while others have not. What they bar or begin later changes nothing in it. */
    const known = new Map<string, KnownAnswers>();

    function answersOf({ series, before }: ReportRequest): KnownAnswers["answers"] {
        const present = known.get(series);
        if (present?.before === before) {
            return present.answers;
        }
        const answers = new Map<string, Answer>();
        known.set(series, { before, answers });
        return answers;
    }

    async function ask(process: ReportingProcess, request: ReportRequest): Promise<Outcome<Answer>> {
        const link = await links.connect(process.address);
        if (link.isErr) {
            const claims = answersOf(request).get(process.process)?.claims ?? [];
            return process.isKnown ? missingReport(process, link.error) : Result.ok({ incarnation: "", claims });
        }
        const { incarnation } = link.value.peer;
        const earlier = answersOf(request).get(process.process);
        if (earlier?.incarnation === incarnation) {
            return Result.ok(earlier);
        }
        const told = await link.value.request(reportMethodName, request, timeout);
        const claims = told.andThen(readReport);
        return claims.isErr
            ? missingReport(process, claims.error)
            : Result.ok({ incarnation, claims: [...earlier?.claims ?? [], ...claims.value] });
    }

    return async request => {
        const asked = processes();
        if (asked === undefined) {
            return claimUnavailable("the processes that may know claims are not known yet");
        }
        const answers = answersOf(request);
        let refusal: Outcome<never> | undefined;
        for (let first = 0; first < asked.length; first += concurrency) {
            const group = asked.slice(first, first + concurrency);
            const outcomes = await Promise.all(group.map(process => ask(process, request)));
            outcomes.forEach((outcome, index) => {
                const { process = "" } = group[index] ?? {};
                if (outcome.isErr) {
                    refusal ??= Result.err(outcome.error);
                }
                else {
                    answers.set(process, outcome.value);
                }
            });
        }
        if (refusal !== undefined) {
            return refusal;
        }
        known.delete(request.series);
        return Result.ok([...own(request), ...[...answers.values()].flatMap(({ claims }) => claims)]);
    };
}

function readReport(value: unknown): Outcome<readonly ReportedClaim[]> {
    const parsed = claimReportSchema.safeParse(value);
    return parsed.success
        ? Result.ok(parsed.data.claims)
        : Result.err(failure(transportCodes.protocolViolation, "the answer is no report of claims"));
}

function missingReport({ process }: ReportingProcess, { message }: Failure): Outcome<never> {
    return claimUnavailable(`claims may be lost, and ${process} has not told those that it knows: ${message}`);
}

function claimUnavailable(message: string): Outcome<never> {
    return Result.err(failure(requestCodes.claimUnavailable, message, { retryAfter }));
}
