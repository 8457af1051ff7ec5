/**
 * Leased control duties: placement, rollout, weight loads.
 *
 * @packageDocumentation
 */
export { type Duty, type DutyMember, DutyRunner, type DutyRunnerOptions } from "./lib/leases/DutyRunner.js";
export { Lease, type LeaseOptions } from "./lib/leases/Lease.js";
export { leaseKey, type LeaseValue, leaseValueSchema, ordersDuty, readFence } from "./lib/leases/leaseRow.js";
