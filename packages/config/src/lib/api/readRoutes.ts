import { failure, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Progress } from "../distribution/ProgressCollector.js";
import { type Kind, type Resource } from "../resources/Resource.js";
import { kinds, kindSchema } from "../revisions/LogEntry.js";
import { type ApiContext, type ApiRequest, type RouteOutcome } from "./ApiContext.js";
import { showResource } from "./resourceStatus.js";

/** Milliseconds for which a collected progress is reused. */
const progressCacheTime = 500;

/**
 * Routes that read resources and their status.
 *
 * @internal
 */
export class ReadRoutes {
    private recent:
        | { readonly revision: number; readonly at: number; readonly progress: Promise<Progress>; }
        | undefined;

    constructor(private readonly context: ApiContext) {}

    /** `GET resources`, `GET resources/KIND` and `GET resources/KIND/NAME`. */
    async resources({ path: [kind, name], query }: ApiRequest): Promise<RouteOutcome> {
        const parsed = kindSchema.optional().safeParse(kind);
        if (!parsed.success) {
            return Result.err([failure(requestCodes.noSuchRoute, `no kind of resource is named ${kind}`)]);
        }
        if (parsed.data !== undefined && name !== undefined) {
            return this.one(parsed.data, name);
        }
        const { state } = this.context.node;
        const { revision } = state;
        const items: Resource[] = (parsed.data === undefined ? kinds : [parsed.data]).flatMap(one => state.list(one));
        const progress = query.get("status") === "true" ? await this.progress() : undefined;
        const body = { revision, items: items.map(item => showResource(item, progress)) };
        return Result.ok({ status: 200, body });
    }

    /** `GET status`: the progress of the newest revision. */
    async status(): Promise<RouteOutcome> {
        const { node } = this.context;
        const { revision, hosts, behindCount, behind } = await this.progress();
        const inForce = behindCount === 0;
        const hostsBehind = { count: behindCount, hosts: behind };
        const age = Number.isFinite(node.age) ? Math.round(node.age) : undefined;
        const body = { acceptedRevision: revision, inForce, hosts, hostsBehind, ready: node.ready, storeAge: age };
        return Result.ok({ status: 200, body });
    }

    private async one(kind: Kind, name: string): Promise<RouteOutcome> {
        const resource = this.context.node.state.get(kind, name);
        if (resource === undefined) {
            return Result.err([failure(resourceCodes.noSuchResource, `no ${kind} is named ${name}`)]);
        }
        const progress = await this.progress();
        const headers = { etag: `"${resource.resourceVersion}"` };
        return Result.ok({ status: 200, body: showResource(resource, progress), headers });
    }

    /** Collects the progress of the newest revision. Requests in close succession share one result. */
    private progress(): Promise<Progress> {
        const { node, clock } = this.context;
        const { revision } = node.state;
        const { recent } = this;
        if (recent !== undefined && recent.revision === revision && clock.now() - recent.at < progressCacheTime) {
            return recent.progress;
        }
        const progress = node.progress(revision);
        this.recent = { revision, at: clock.now(), progress };
        return progress;
    }
}
