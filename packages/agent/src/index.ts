/**
 * The agent beside each target: pipeline stages, claims and plain services.
 *
 * @packageDocumentation
 */
export {};
