/**
 * Resources, the operator API, the revision log and the distribution of revisions to all processes.
 *
 * @packageDocumentation
 */
export { type ApiNode } from "./lib/api/ApiContext.js";
export { type Operator, type OperatorAuthenticatorOptions } from "./lib/api/OperatorAuthenticator.js";
export { parseJsonc } from "./lib/api/readBody.js";
export {
    type AnsweredRequest,
    type PlainHandler,
    ResourceApi,
    type ResourceApiOptions,
} from "./lib/api/ResourceApi.js";
export { type ResourceStatus } from "./lib/api/resourceStatus.js";
export { type Configuration } from "./lib/Configuration.js";
export { ConfigurationNode, type ConfigurationNodeOptions } from "./lib/distribution/ConfigurationNode.js";
export { type HostBehind } from "./lib/distribution/messages.js";
export { createPoolCaller, type PeerCaller } from "./lib/distribution/NodeContext.js";
export { type Progress } from "./lib/distribution/ProgressCollector.js";
export { type Member, type MemberState, type Self } from "./lib/membership/Member.js";
export { Membership, type MembershipOptions } from "./lib/membership/Membership.js";
export { type Kind, type Resource, type Specs, specSchemas } from "./lib/resources/Resource.js";
export {
    type AdapterSpec,
    type CredentialSpec,
    type ModelSpec,
    type OrganisationSpec,
    type PlacementSpec,
    type ServiceSpec,
    type TargetSpec,
} from "./lib/resources/specs.js";
export { type Change, kinds, type LogEntry, type Snapshot } from "./lib/revisions/LogEntry.js";
export { headKey } from "./lib/revisions/logRows.js";
export {
    type ApplyResult,
    nextEntry,
    RevisionState,
    type RevisionStateOptions,
} from "./lib/revisions/RevisionState.js";
export { StoreLog } from "./lib/revisions/StoreLog.js";
export { resource, StaticConfiguration } from "./lib/StaticConfiguration.js";
export { type FieldChange } from "./lib/store/diffFields.js";
export { type ChangeResult } from "./lib/store/planChanges.js";
export {
    type Accepted,
    type ApplyOptions,
    type ChangeOutcome,
    ResourceStore,
    type ResourceStoreOptions,
} from "./lib/store/ResourceStore.js";
export { type DesiredChange, parseAllDesired, parseDesired } from "./lib/validation/parseDesired.js";
export { type ResourceFailure } from "./lib/validation/ResourceFailure.js";
export { validateChanges } from "./lib/validation/validateChanges.js";
