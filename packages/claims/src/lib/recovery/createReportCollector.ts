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

/** A process that may know claims of an earlier era of the store, or may still start them. @public */
export interface ReportingProcess {
    readonly process: string;
    readonly address: Address;
    /** Whether the process is known to be running. If not, it is skipped when nothing listens at its address. */
    readonly isLive: boolean;
}

/** Options of {@link createReportCollector}. @public */
export interface ReportCollectorOptions {
    /** All other entries and agents; undefined while they are not known. */
    readonly processes: () => readonly ReportingProcess[] | undefined;
    /** The claims that this process knows itself. */
    readonly own: (request: ReportRequest) => readonly ReportedClaim[];
    readonly links: LinkPool;
    /**
     * Milliseconds to wait for the response of one process. Shorter than the timeout of a call that waits for its
     * claim.
     */
    readonly timeout?: number;
    /** Maximum number of concurrent requests. */
    readonly concurrency?: number;
}

interface Answer {
    /** The incarnation that responded last. A later incarnation does not reject claims of the request's range yet. */
    readonly incarnation: string;
    /** The claims reported by all incarnations of the process. */
    readonly claims: readonly ReportedClaim[];
}

interface KnownAnswers {
    readonly before: number;
    /** By process name. */
    readonly answers: Map<string, Answer>;
}

const defaults = { timeout: 800, concurrency: 64 };

/** Milliseconds after which a caller may retry: the list of processes lags by some seconds, a restart takes less. */
const retryAfter = 1_000;

/**
 * Collects the claims that all entries and agents know. A process that does not respond may have started a claim or may
 * start it later, so recovery does not complete until it responds or is removed from the list of processes. An
 * incarnation that has responded is not asked again in the same era, so that a retry waits only for the processes that
 * have not.
 *
 * @public
 */
export function createReportCollector(options: ReportCollectorOptions): CollectReports {
    const { processes, own, links, timeout, concurrency } = { ...defaults, ...options };
    /**
     * The responses so far, by series, while others are missing. They stay valid, since a process that has responded
     * starts no other claim of the request's range.
     */
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
            return process.isLive ? missingReport(process, link.error) : Result.ok({ incarnation: "", claims });
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
            return claimUnavailable("the list of processes that may know claims is not known yet");
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
        : Result.err(failure(transportCodes.protocolViolation, "the response does not fit the claim report schema"));
}

function missingReport({ process }: ReportingProcess, { message }: Failure): Outcome<never> {
    return claimUnavailable(`claims may be lost, and ${process} has not reported those that it knows: ${message}`);
}

function claimUnavailable(message: string): Outcome<never> {
    return Result.err(failure(requestCodes.claimUnavailable, message, { retryAfter }));
}
