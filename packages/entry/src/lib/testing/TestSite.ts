import { type Kind, type Resource, resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { type HistoryEvent } from "@waxwingspar/history";
import { createRetryBudgets, type OrganisationLimits } from "@waxwingspar/policy";
import { type Address, type Stage } from "@waxwingspar/transport";
import { type Clock, ManualClock, seededRandom } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { pino } from "pino";
import { Entry, type EntryOptions } from "../Entry.js";
import { noMetrics } from "../EntryMetrics.js";
import { type ErrorBody } from "../http/errorBody.js";
import { FakeAgent, FakeLinkPool } from "./FakeAgents.js";
import { FakeClaims } from "./FakeClaims.js";
import { FakeRouter } from "./FakeRouter.js";

/** The token of the test's caller. @internal */
export const callerToken = "secret-of-ports";

/** @internal */
export interface TestSiteOptions {
    readonly clock?: ManualClock;
    readonly claims?: FakeClaims;
    readonly findFinalOutcome?: EntryOptions["findFinalOutcome"];
    readonly limits?: EntryOptions["limits"];
    readonly organisationLimits?: OrganisationLimits;
    readonly anonymousOrganisation?: string;
    /** True for a retry budget that allows no retry. */
    readonly emptyBudget?: boolean;
    /** Agents to share with another site of the test. */
    readonly agents?: readonly FakeAgent[];
    /** Resources that replace those of the same kind and name. */
    readonly resources?: (agents: readonly FakeAgent[]) => readonly Resource[];
}

/**
 * A complete entry on a real socket, with fake agents at the remote end of its links.
 *
 * @internal
 */
export class TestSite {
    readonly clock: ManualClock;
    readonly agents: readonly FakeAgent[];
    readonly router: FakeRouter;
    readonly claims: FakeClaims;
    readonly history: HistoryEvent[] = [];
    readonly faults: unknown[] = [];
    /** The result codes of ended requests, from the entry's metrics. */
    readonly ended: number[] = [];
    readonly entry: Entry;
    private address: Address = { host: "", port: 0 };

    constructor(options: TestSiteOptions = {}) {
        this.clock = options.clock ?? new ManualClock();
        this.agents = options.agents ?? createAgents(this.clock);
        this.claims = options.claims ?? new FakeClaims();
        this.router = new FakeRouter(this.agents.map(agent => [stageOf(agent)]));
        const configuration = new StaticConfiguration();
        const replaced = options.resources?.(this.agents) ?? [];
        const kept = siteResources(this.agents).filter(({ kind, name }) =>
            !replaced.some(other => other.kind === kind && other.name === name)
        );
        configuration.set([...kept, ...replaced]);
        this.entry = new Entry({
            listen: { host: "127.0.0.1", port: 0 },
            links: new FakeLinkPool(this.agents),
            configuration,
            router: this.router,
            retryBudgets: createRetryBudgets({
                clock: this.clock,
                random: seededRandom(1),
                capacity: options.emptyBudget === true ? 0 : 20,
            }),
            claims: this.claims,
            findFinalOutcome: options.findFinalOutcome,
            organisationLimits: options.organisationLimits,
            clock: this.clock,
            logger: pino({ level: "error" }, { write: line => void this.faults.push(line) }),
            metrics: { ...noMetrics, requestEnded: (_, code) => void this.ended.push(code) },
            history: event => void this.history.push(event),
            anonymousOrganisation: options.anonymousOrganisation,
            limits: { stopLead: 0, ...options.limits },
        });
    }

    get port(): number {
        return this.address.port;
    }

    agent(index: number): FakeAgent {
        const agent = this.agents[index];
        if (agent === undefined) {
            throw new Error(`no agent ${index}`);
        }
        return agent;
    }

    async start(): Promise<this> {
        const address = await this.entry.start();
        if (address.isErr) {
            throw new Error(address.error.message);
        }
        this.address = address.value;
        return this;
    }

    /** Advances the clock. */
    async advance(duration: number): Promise<void> {
        await this.clock.advanceAsync(duration, 100);
    }

    /** Sends a request with the caller's token. */
    fetch(path: string, init: RequestInit = {}): Promise<Response> {
        const headers = { Authorization: `Bearer ${callerToken}`, ...init.headers as Record<string, string> };
        return fetch(`http://127.0.0.1:${this.port}${path}`, { ...init, headers });
    }

    /** Posts a JSON body with the caller's token. */
    post(path: string, body: unknown, headers: Record<string, string> = {}, signal?: AbortSignal): Promise<Response> {
        return this.fetch(path, { method: "POST", body: JSON.stringify(body), headers, signal });
    }
}

function createAgents(clock: Clock): FakeAgent[] {
    return [1, 2, 3].map(index => new FakeAgent(`target-${index}`, clock, index));
}

function stageOf(agent: FakeAgent): Stage {
    return { target: agent.target, ...agent.address, first: 0, last: 11 };
}

function siteResources(agents: readonly FakeAgent[]): Resource[] {
    const tokenHash = createHash("sha256").update(callerToken).digest("hex");
    return [
        make("organisation", "ports", { priority: 5 }),
        make("organisation", "depots", { allow: ["records"] }),
        make("credential", "ports-caller", { tokenHash, role: "caller", organisation: "ports" }),
        modelResource({ versions: ["1"], current: "1" }),
        make("adapter", "polite", { model: "demo", versions: ["1"], bytes: 1000 }),
        make("service", "records", { nonIdempotent: [{ method: "POST", path: "/work-orders" }], maxBody: 1000 }),
        ...agents.map(targetResource),
    ];
}

/** The resource of an agent's target. @internal */
export function targetResource({ target, address }: FakeAgent): Resource<"target"> {
    return make("target", target, { ...address, dataCentre: "dc1", service: "records" });
}

/** The test's model. @internal */
export function modelResource(spec: { versions: string[]; current: string; replicas?: number; }): Resource<"model"> {
    return make("model", "demo", { layers: 12, ...spec });
}

/** A target on which an operator has pinned whole versions of the test's model. @internal */
export function pinnedTarget({ target, address }: FakeAgent, versions: readonly string[]): Resource<"target"> {
    const holds = versions.map(version => ({ model: "demo", version, first: 0, last: 11 }));
    return make("target", target, { ...address, dataCentre: "dc1", service: "records", holds });
}

function make<K extends Kind>(kind: K, name: string, spec: unknown): Resource<K> {
    return resource(kind, name, specSchemas[kind].parse(spec) as Resource<K>["spec"]);
}

/** A chat request for the test's model. @internal */
export function chatBody(maxTokens: number, stream = false): object {
    return { model: "demo", messages: [{ role: "user", content: "Why does it hum?" }], max_tokens: maxTokens, stream };
}

/** Reads the text of a stream of chat events, and whether the stream ended completely. @internal */
export async function readStream(response: Response): Promise<{ text: string; whole: boolean; error?: ErrorBody; }> {
    const events = (await response.text()).split("\n\n").filter(event => event !== "").map(event => event.slice(6));
    const chunks = events.filter(event => event !== "[DONE]").map(event => JSON.parse(event) as Chunk);
    return {
        text: chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? "").join(""),
        whole: events.at(-1) === "[DONE]",
        error: chunks.find(chunk => chunk.error !== undefined) as ErrorBody | undefined,
    };
}

interface Chunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[];
    readonly error?: unknown;
}
