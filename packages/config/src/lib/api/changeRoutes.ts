import { failure, type Outcome, requestCodes, resourceCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Kind } from "../resources/Resource.js";
import { kindSchema } from "../revisions/LogEntry.js";
import { type Accepted } from "../store/ResourceStore.js";
import { type DesiredChange, parseDesired } from "../validation/parseDesired.js";
import { fieldFailure, type ResourceFailure } from "../validation/ResourceFailure.js";
import { type ApiContext, type ApiRequest, type RouteOutcome } from "./ApiContext.js";
import { readBody } from "./readBody.js";

/** The maximum number of changes in one request. */
const maxChanges = 1000;
const changeIdPattern = /^[\w.:-]{1,100}$/;
const versionPattern = /^(?:W\/)?"?(\d+)"?$/;

const removalSchema = z.strictObject({
    kind: kindSchema,
    name: z.string(),
    remove: z.literal(true),
    resourceVersion: z.number().int().nonnegative().optional(),
});
const applySchema = z.strictObject({ changes: z.array(z.unknown()).min(1) });

type Changes = Result<readonly DesiredChange[], readonly ResourceFailure[]>;

/**
 * Routes that change resources.
 *
 * @internal
 */
export class ChangeRoutes {
    /** @param protectedKinds - Kinds that operators may not write because only control duties do. */
    constructor(private readonly context: ApiContext, private readonly protectedKinds: readonly Kind[]) {}

    /** `PUT resources/KIND/NAME`, and `POST resources/KIND` for a resource that must not exist yet. */
    async write(request: ApiRequest): Promise<RouteOutcome> {
        const [kind, name] = request.path;
        const body = await readBody(request.message);
        const version = request.method === "POST" ? Result.ok<number, never>(0) : ifMatch(request);
        if (body.isErr || version.isErr) {
            return Result.err([body.isErr ? body.error : version.isErr ? version.error : malformed("")]);
        }
        const document = { kind, ...(name === undefined ? {} : { name }), ...asObject(body.value) };
        const mismatch = pathMismatch(document, kind, name);
        if (mismatch !== undefined) {
            return Result.err([mismatch]);
        }
        const conditional = version.value === undefined ? document : { ...document, resourceVersion: version.value };
        return this.apply(
            request,
            parseDesired(conditional).map(change => [change]),
            request.method === "POST" ? 201 : 200,
        );
    }

    /** `DELETE resources/KIND/NAME`. */
    async remove(request: ApiRequest): Promise<RouteOutcome> {
        const [kind, name = ""] = request.path;
        const parsed = kindSchema.safeParse(kind);
        if (!parsed.success) {
            return Result.err([failure(requestCodes.noSuchRoute, `no kind of resource is named ${kind}`)]);
        }
        const version = ifMatch(request);
        if (version.isErr) {
            return Result.err([version.error]);
        }
        return this.apply(request, Result.ok([{ kind: parsed.data, name, resourceVersion: version.value }]));
    }

    /** `POST apply`: applies several changes atomically. */
    async applyAll(request: ApiRequest): Promise<RouteOutcome> {
        const body = await readBody(request.message);
        if (body.isErr) {
            return Result.err([body.error]);
        }
        const parsed = applySchema.safeParse(body.value);
        if (!parsed.success) {
            return Result.err([
                failure(resourceCodes.invalidField, "expected an object with a non-empty list of changes", {
                    path: "changes",
                }),
            ]);
        }
        const { changes } = parsed.data;
        if (changes.length > maxChanges) {
            return Result.err([
                failure(
                    requestCodes.tooLarge,
                    `${changes.length} changes in one request; at most ${maxChanges} are allowed`,
                    { path: "changes" },
                ),
            ]);
        }
        return this.apply(request, parseChanges(changes));
    }

    private async apply(request: ApiRequest, changes: Changes, status = 200): Promise<RouteOutcome> {
        const changeId = readChangeId(request);
        if (changeId.isErr) {
            return Result.err([changeId.error]);
        }
        if (changes.isErr) {
            return Result.err(changes.error);
        }
        const forbidden = changes.value.find(change => this.protectedKinds.includes(change.kind));
        if (forbidden !== undefined) {
            return Result.err([
                failure(
                    requestCodes.forbidden,
                    `resources of kind ${forbidden.kind} are written by control duties only`,
                ),
            ]);
        }
        const dryRun = request.query.get("dryRun") === "true";
        const outcome = await this.context.store.apply(changes.value, { changeId: changeId.value, dryRun });
        return outcome.map(accepted => ({ status: dryRun ? 200 : status, body: describe(accepted, dryRun) }));
    }
}

function describe({ revision, changeId, results }: Accepted, dryRun: boolean) {
    const shown = results.map(({ kind, name, action, resourceVersion, fields }) => ({
        kind,
        name,
        action,
        // A change that was not written leaves the version as it was.
        resourceVersion: dryRun || action === "unchanged" ? resourceVersion : revision,
        fields,
    }));
    return { revision, changeId, dryRun, results: shown };
}

function parseChanges(documents: readonly unknown[]): Changes {
    const parsed = documents.map((document): Result<DesiredChange, readonly ResourceFailure[]> => {
        const removal = removalSchema.safeParse(document);
        return removal.success ? Result.ok(asRemoval(removal.data)) : parseDesired(document);
    });
    const failures = parsed.flatMap(one => one.isErr ? one.error : []);
    return failures.length > 0 ? Result.err(failures) : Result.ok(parsed.flatMap(one => one.isOk ? [one.value] : []));
}

function asRemoval({ kind, name, resourceVersion }: z.infer<typeof removalSchema>): DesiredChange {
    return { kind, name, resourceVersion };
}

function pathMismatch(document: object, kind = "", name?: string): ResourceFailure | undefined {
    const written = document as { kind?: unknown; name?: unknown; };
    const field = written.kind !== kind ? "kind" : name !== undefined && written.name !== name ? "name" : undefined;
    if (field === undefined) {
        return undefined;
    }
    const reason = fieldFailure(
        resourceCodes.invalidField,
        field,
        `the ${field} in the body differs from the one in the path`,
    );
    return { ...reason, resource: `${kind}/${name ?? ""}` };
}

function ifMatch({ message }: ApiRequest): Outcome<number | undefined> {
    const header = message.headers["if-match"];
    if (message.headers["if-none-match"] === "*") {
        return Result.ok(0);
    }
    if (header === undefined || header === "*") {
        return Result.ok(undefined);
    }
    const version = versionPattern.exec(header)?.[1];
    return version === undefined
        ? Result.err(malformed("the If-Match header is not a resource version"))
        : Result.ok(Number(version));
}

/** The change ID of the request, prefixed with the operator's name so that IDs of two operators never collide. */
function readChangeId({ message, operator }: ApiRequest): Outcome<string> {
    const header = message.headers["idempotency-key"];
    if (header === undefined) {
        return Result.ok(uniqueId());
    }
    return typeof header === "string" && changeIdPattern.test(header)
        ? Result.ok(`${operator.name}:${header}`)
        : Result.err(malformed("the Idempotency-Key header must consist of 1 to 100 letters, digits or . : _ -"));
}

function asObject(value: unknown): object {
    return typeof value === "object" && value !== null && !Array.isArray(value) ? value : { spec: value };
}

function malformed(message: string) {
    return failure(requestCodes.malformed, message);
}
