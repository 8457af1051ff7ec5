/**
 * Leased control duties: placement, rollout, weight loads.
 *
 * @packageDocumentation
 */
export {};
