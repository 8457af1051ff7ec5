/**
 * Control tasks that run under a lease: placement, rollout and the loading of weights.
 *
 * @packageDocumentation
 */
export { type Duty, type DutyMember, DutyRunner, type DutyRunnerOptions } from "./lib/leases/DutyRunner.js";
export { Lease, type LeaseOptions } from "./lib/leases/Lease.js";
export { fenceKey, leaseKey, type LeaseValue, leaseValueSchema, ordersDuty, readFence } from "./lib/leases/leaseRow.js";
export { createObserveMethod, type ObserveMethodOptions } from "./lib/orders/createObserveMethod.js";
export {
    LinkTargetPort,
    type LinkTargetPortOptions,
    observeMethodName,
    orderMethodName,
} from "./lib/orders/LinkTargetPort.js";
export { LoadPermits, type LoadPermitsOptions, type WantedLoad } from "./lib/orders/LoadPermits.js";
export { OrderSender, type OrderSenderOptions, type WantedOrder } from "./lib/orders/OrderSender.js";
export { type Observation, type TargetPort, type TargetReport, targetReportSchema } from "./lib/orders/TargetPort.js";
export { type CreateOptions, createPipelines } from "./lib/placement/createPipelines.js";
export {
    type PipelineStage,
    type PlacementModel,
    type PlacementTarget,
    placementTarget,
} from "./lib/placement/Pipeline.js";
export { replaceStages } from "./lib/placement/replaceStages.js";
export { type CostOptions, defaultCosts, type PipelineTime, pipelineTime } from "./lib/placement/stageTime.js";
export { PlacementStore } from "./lib/rollout/PlacementStore.js";
export { type PlanOptions, planSite } from "./lib/rollout/planSite.js";
export { type RowCondition, SiteDuty, type SiteDutyOptions, type SiteStatus } from "./lib/rollout/SiteDuty.js";
export {
    type PlacementChange,
    type SiteAdapter,
    type SiteModel,
    type SiteOrder,
    type SitePlacement,
    type SitePlan,
    type SiteTarget,
    type SiteView,
    type UnneededVersion,
} from "./lib/rollout/SiteView.js";
