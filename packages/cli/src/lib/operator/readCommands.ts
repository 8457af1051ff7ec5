import { type Clock, sleep } from "@waxwingspar/utils";
import {
    type ApiResource,
    apiResourceSchema,
    resourceListSchema,
    type SiteStatus,
    siteStatusSchema,
    watchLineSchema,
} from "./apiAnswers.js";
import { formatTable } from "./formatTable.js";
import { type OperatorContext, printJson, reportFailures } from "./OperatorContext.js";
import { operatorExitCodes } from "./operatorExitCodes.js";

/** Milliseconds between two reads of the status. */
const waitInterval = 500;
const maxHostsShown = 10;
const maxSummaryLength = 60;

/**
 * Shows all resources, those of one kind, or a single one.
 *
 * @returns The exit code.
 * @internal
 */
export async function getCommand(context: OperatorContext, kind?: string, name?: string): Promise<number> {
    const { client, output, format } = context;
    const path = ["resources", kind, name].filter(part => part !== undefined).map(encodeURIComponent).join("/");
    const reply = await client.send({ method: "GET", path: name === undefined ? `${path}?status=true` : path });
    if (reply.isErr) {
        return reportFailures(output, reply.error);
    }
    if (format === "json") {
        printJson(output, reply.value);
        return operatorExitCodes.done;
    }
    const items = name === undefined
        ? resourceListSchema.parse(reply.value).items
        : [apiResourceSchema.parse(reply.value)];
    output.write(formatTable(["RESOURCE", "VERSION", "IN FORCE", "SPEC"], items.map(resourceRow)));
    return operatorExitCodes.done;
}

/** @internal */
export interface StatusOptions {
    /** Whether to wait until everything is in force or the timeout has passed. */
    readonly wait: boolean;
    /** The maximum wait in milliseconds. */
    readonly timeout: number;
    readonly clock: Clock;
}

/**
 * Shows whether the accepted configuration is in force, and which hosts are behind.
 *
 * @returns The exit code: `refused` while some host is behind.
 * @internal
 */
export async function statusCommand(
    context: OperatorContext,
    { wait, timeout, clock }: StatusOptions,
): Promise<number> {
    const { client, output, format } = context;
    const end = clock.now() + timeout;
    for (;;) {
        const reply = await client.send({ method: "GET", path: "status" });
        if (reply.isErr) {
            return reportFailures(output, reply.error);
        }
        const status = siteStatusSchema.parse(reply.value);
        if (status.inForce || !wait || clock.now() >= end) {
            printStatus(context, status, format);
            return status.inForce ? operatorExitCodes.done : operatorExitCodes.refused;
        }
        await sleep(clock, waitInterval);
    }
}

/** @internal */
export interface WatchOptions {
    readonly kind?: string;
    /** Changes after this revision are shown; if absent, only new changes. */
    readonly revision?: number;
    /** Ends the watch. */
    readonly signal?: AbortSignal;
}

/**
 * Shows each change as it comes into force at the process that serves the API.
 *
 * @returns The exit code.
 * @internal
 */
export async function watchCommand(
    { client, output, format }: OperatorContext,
    { kind, revision, signal }: WatchOptions,
): Promise<number> {
    const query = new URLSearchParams();
    if (kind !== undefined) {
        query.set("kind", kind);
    }
    if (revision !== undefined) {
        query.set("revision", revision.toString());
    }
    for await (const line of client.lines(`watch?${query.toString()}`, signal)) {
        if (line.isErr) {
            return reportFailures(output, [line.error]);
        }
        const shown = watchLineSchema.parse(JSON.parse(line.value));
        if (shown.type === "error") {
            output.writeError(`${shown.message}\n`);
            return operatorExitCodes.refused;
        }
        if (shown.type !== "bookmark") {
            output.write(
                format === "json" ? line.value + "\n" : `${shown.revision} ${shown.type} ${shown.kind}/${shown.name}\n`,
            );
        }
    }
    return operatorExitCodes.done;
}

function resourceRow({ kind, name, resourceVersion, spec, status }: ApiResource): string[] {
    const inForce = status === undefined ? "" : status.inForce ? "yes" : `no, ${status.hostsBehind.count} behind`;
    return [`${kind}/${name}`, resourceVersion.toString(), inForce, summarise(spec)];
}

/** Formats the fields of a spec on one line, truncated to the maximum length. */
function summarise(spec: Readonly<Record<string, unknown>>): string {
    const text = Object.entries(spec).map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(" ");
    return text.length <= maxSummaryLength ? text : `${text.slice(0, maxSummaryLength - 3)}...`;
}

function printStatus({ output }: OperatorContext, status: SiteStatus, format: OperatorContext["format"]): void {
    if (format === "json") {
        printJson(output, status);
        return;
    }
    const { acceptedRevision, inForce, hosts, hostsBehind, storeAge } = status;
    const row = [
        acceptedRevision.toString(),
        inForce ? "yes" : "no",
        hosts.toString(),
        hostsBehind.count.toString(),
        storeAge === undefined ? "never" : `${storeAge} ms ago`,
    ];
    output.write(formatTable(["ACCEPTED", "IN FORCE", "HOSTS", "BEHIND", "STORE READ"], [row]));
    if (hostsBehind.count > 0) {
        const rows = hostsBehind.hosts.slice(0, maxHostsShown).map((
            { process, revision },
        ) => [process, revision?.toString() ?? "not heard of"]);
        output.write("\n" + formatTable(["HOST BEHIND", "REVISION"], rows));
    }
}
