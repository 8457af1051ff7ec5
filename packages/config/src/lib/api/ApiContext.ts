import { type Clock, type Failure } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Result } from "true-myth";
import { type Progress } from "../distribution/ProgressCollector.js";
import { type RevisionState } from "../revisions/RevisionState.js";
import { type ResourceStore } from "../store/ResourceStore.js";
import { type ResourceFailure } from "../validation/ResourceFailure.js";
import { type Operator } from "./OperatorAuthenticator.js";

/** The part of a configuration node that the API needs. @public */
export interface ApiNode {
    readonly state: RevisionState;
    readonly ready: boolean;
    /** Milliseconds since the process was in step with the store. */
    readonly age: number;
    progress(revision: number): Promise<Progress>;
}

/** What every route of the API works with. @internal */
export interface ApiContext {
    readonly node: ApiNode;
    readonly store: ResourceStore;
    readonly clock: Clock;
}

/** One request of an operator who has been authenticated. @internal */
export interface ApiRequest {
    readonly operator: Operator;
    readonly method: string;
    /** The parts of the path below the API's root, decoded. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
}

/** An answer as JSON with its HTTP status. @internal */
export interface ApiAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** The outcome of a route: an answer, or every failure. Undefined when the route writes its answer itself. @internal */
export type RouteOutcome = Result<ApiAnswer | undefined, readonly (Failure | ResourceFailure)[]>;
