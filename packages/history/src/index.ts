/**
 * History events of a concurrent run, and the checker that verifies them.
 *
 * @packageDocumentation
 */
export {
    type HistoryRule,
    historyRules,
    type LineReference,
    type RuleCount,
    type Violation,
} from "./lib/check/Findings.js";
export {
    checkHistory,
    checkHistoryFiles,
    type CheckOptions,
    HistoryChecker,
    type HistoryReport,
} from "./lib/checkHistory.js";
export {
    type HistoryEvent,
    historyEventSchema,
    type HistoryLine,
    historyLineSchema,
    type HistoryRecorder,
} from "./lib/HistoryEvent.js";
export { FileRecorder, type FileRecorderOptions } from "./lib/recording/FileRecorder.js";
export { type HistoryFile, readHistory } from "./lib/recording/readHistory.js";
