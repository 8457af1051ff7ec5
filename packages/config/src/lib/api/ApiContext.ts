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
    /** Milliseconds since the process last had everything in force that the store held. */
    readonly age: number;
    progress(revision: number): Promise<Progress>;
}

/** The dependencies that all routes of the API share. @internal */
export interface ApiContext {
    readonly node: ApiNode;
    readonly store: ResourceStore;
    readonly clock: Clock;
}

/** A request from an authenticated operator. @internal */
export interface ApiRequest {
    readonly operator: Operator;
    readonly method: string;
    /** The decoded path segments below the API root. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
}

/** A JSON response with its HTTP status. @internal */
export interface ApiAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** The outcome of a route: a response or all failures. Undefined if the route writes its own response. @internal */
export type RouteOutcome = Result<ApiAnswer | undefined, readonly (Failure | ResourceFailure)[]>;
