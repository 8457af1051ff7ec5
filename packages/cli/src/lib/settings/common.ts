import { logLevels } from "@waxwingspar/telemetry";
import { linkCredentialsSchema } from "@waxwingspar/transport";
import { z } from "zod";

const maxPort = 65_535;

/** Where a process listens. @internal */
export const addressSchema = z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()], "expected an IP address").describe("The IP address to listen on."),
    port: z.number().int().min(0).max(maxPort).describe("The port; 0 lets the operating system choose."),
});

/** The name of a process, data centre or region: lower-case letters, digits, dots and hyphens. @internal */
export const nameSchema = z.string().regex(
    /^[a-z0-9]([-a-z0-9.]{0,61}[a-z0-9])?$/,
    "expected a name of lower-case letters, digits, dots and hyphens, at most 63",
);

const originSchema = z.string().regex(/^https?:\/\/[^/\s]+$/, "expected an origin such as http://10.0.0.5:9000");

/** How a process reaches the platform's services. @internal */
export const platformClientSchema = z.strictObject({
    origin: originSchema.describe("Where the platform's services answer over HTTP."),
    readsPerSecond: z.number().positive().default(20).describe("This process's share of the store's reads."),
    writesPerSecond: z.number().positive().default(10).describe("This process's share of the store's writes."),
    claimWritesPerSecond: z.number().positive().default(200).describe(
        "Writes per second for claims, over all entries together; the same everywhere.",
    ),
});

const tracingSchema = z.strictObject({
    endpoint: z.url().optional().describe("Where spans are sent by OTLP over HTTP; absent means that none are sent."),
    ratio: z.number().min(0).max(1).default(0.01).describe("The share of traces kept, among those that begin here."),
});

const logSchema = z.strictObject({
    level: z.enum(logLevels).default("info").describe("The least level that is written."),
});

const historySchema = z.strictObject({
    file: z.string().min(1).describe("The file to write; one that exists is replaced."),
});

/** Settings that every daemon has. @internal */
export const daemonFields = {
    name: nameSchema.describe("The stable name of the process; an agent carries the name of its target."),
    dataCentre: nameSchema.describe("The data centre that the process runs in."),
    region: nameSchema.describe("The region of that data centre."),
    links: addressSchema.describe("Where other processes of the system connect."),
    operators: addressSchema.describe(
        "Where operators connect: /metrics, /healthz, /readyz, and on an entry the resource API.",
    ),
    credentials: linkCredentialsSchema.describe("How links between processes are authenticated; see docs/SECURITY.md."),
    platform: platformClientSchema.describe("The platform's services."),
    seeds: z.array(addressSchema).default([]).describe("Processes to ask while the live list cannot be read."),
    log: logSchema.default({ level: "info" }).describe("Logs, as JSON lines on standard output."),
    tracing: tracingSchema.default({ ratio: 0.01 }).describe("Traces, with a span for each hop."),
    history: historySchema.optional().describe("Records what the process did, for `waxwingspar check history`."),
};

const loopback = /^(127\.|::1$)/;

/** Rejects settings with plaintext links on an address other than loopback. @internal */
export function checkPlaintext(
    settings: { credentials: z.infer<typeof linkCredentialsSchema>; links: z.infer<typeof addressSchema>; },
    context: z.RefinementCtx,
): void {
    if ("insecure" in settings.credentials && !loopback.test(settings.links.host)) {
        const message = `plaintext is for loopback only: expected keys, since links.host is ${settings.links.host}`;
        context.addIssue({ code: "custom", path: ["credentials", "insecure"], message });
    }
}

export { originSchema };
