/**
 * Resources, the operators' API, revisions and their distribution.
 *
 * @packageDocumentation
 */
export { type Configuration } from "./lib/Configuration.js";
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
export { resource, StaticConfiguration } from "./lib/StaticConfiguration.js";
