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
    readonly atOnce?: number;
}

const defaults = { timeout: 800, atOnce: 64 };

/** Milliseconds after which a caller may come back: the list of processes lags by some seconds, a restart takes less. */
const retryAfter = 1_000;

/**
 * Asks all entries and agents for the claims that they know. One that does not answer may have begun a claim, or begin it later, so
 * nothing is settled without it until the list of processes has dropped it.
 *
 * @public
 */
export function createReportCollector(options: ReportCollectorOptions): CollectReports {
    const { processes, own, links, timeout, atOnce } = { ...defaults, ...options };

    async function ask(process: ReportingProcess, request: ReportRequest): Promise<Outcome<readonly ReportedClaim[]>> {
        const link = await links.connect(process.address);
        if (link.isErr) {
            return process.isKnown ? missing(process, link.error) : Result.ok([]);
        }
        const answer = await link.value.request(reportMethodName, request, timeout);
        const claims = answer.andThen(readReport);
        return claims.isErr ? missing(process, claims.error) : claims;
    }

    return async request => {
        const asked = processes();
        if (asked === undefined) {
            return unsettled("the processes that may know claims are not known yet");
        }
        const reports = [...own(request)];
        for (let first = 0; first < asked.length; first += atOnce) {
            const group = asked.slice(first, first + atOnce);
            const answers = await Promise.all(group.map(process => ask(process, request)));
            for (const answer of answers) {
                if (answer.isErr) {
                    return answer;
                }
                reports.push(...answer.value);
            }
        }
        return Result.ok(reports);
    };
}

function readReport(value: unknown): Outcome<readonly ReportedClaim[]> {
    const parsed = claimReportSchema.safeParse(value);
    return parsed.success
        ? Result.ok(parsed.data.claims)
        : Result.err(failure(transportCodes.protocolViolation, "the answer is no report of claims"));
}

function missing({ process }: ReportingProcess, { message }: Failure): Outcome<never> {
    return unsettled(`claims may be lost, and ${process} has not told those that it knows: ${message}`);
}

function unsettled(message: string): Outcome<never> {
    return Result.err(failure(requestCodes.claimUnavailable, message, { retryAfter }));
}
