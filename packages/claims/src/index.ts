/**
 * Claims that let a non-idempotent request run at most once.
 *
 * @packageDocumentation
 */
export { type ClaimIdentity, decodeClaim, encodeClaim, keyHashOf, shortHash } from "./lib/claimId.js";
export { type Claim, type ClaimRequest, type Claims, type Runner } from "./lib/Claims.js";
export { type FinalClaim, type FinalClaims, type FinalOutcome, type StoredReply } from "./lib/final/FinalClaims.js";
export { FinalClaimsStore, type FinalClaimsStoreOptions } from "./lib/final/FinalClaimsStore.js";
export { ForgottenClaims } from "./lib/ForgottenClaims.js";
export { ClaimJournal, type ClaimJournalOptions } from "./lib/journal/ClaimJournal.js";
export { ClaimJournals, type ClaimJournalsOptions } from "./lib/journal/ClaimJournals.js";
export {
    type ClaimRecovery,
    type CollectReports,
    type ReportedClaim,
    reportMethodName,
    type ReportRequest,
} from "./lib/recovery/ClaimReport.js";
export {
    createReportCollector,
    type ReportCollectorOptions,
    type ReportingProcess,
} from "./lib/recovery/createReportCollector.js";
export { reportMethods } from "./lib/recovery/reportMethods.js";
export { claimMethods } from "./lib/routing/claimMethods.js";
export { ClaimRouter, type ClaimRouterOptions } from "./lib/routing/ClaimRouter.js";
export { type ClaimOwner } from "./lib/routing/OwnerRanking.js";
export { partitionOf } from "./lib/routing/partitionOf.js";
export { TableClaims, type TableClaimsOptions } from "./lib/TableClaims.js";
