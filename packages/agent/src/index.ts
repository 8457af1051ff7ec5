/**
 * The agent that runs next to each target: pipeline stages, claims and calls to plain services.
 *
 * @packageDocumentation
 */
export { Agent, type AgentOptions, type DrainResult } from "./lib/Agent.js";
export { type AgentMetrics, type ModelVersion } from "./lib/AgentContext.js";
export { type AgentSettings, defaultAgentSettings } from "./lib/AgentSettings.js";
export { type WriteFinalClaims } from "./lib/claims/AgentClaims.js";
export { createDeferredMethods } from "./lib/createDeferredMethods.js";
export { type ServiceAddress } from "./lib/service/ServiceProxy.js";
