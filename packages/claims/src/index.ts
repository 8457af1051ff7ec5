/**
 * Claims that let a non-idempotent request run at most once.
 *
 * @packageDocumentation
 */
export { type Claim, type ClaimRequest, type Claims, type Runner } from "./lib/Claims.js";
