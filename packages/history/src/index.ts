/**
 * History events of a concurrent run, and the checker that verifies them.
 *
 * @packageDocumentation
 */
export {
    type HistoryEvent,
    historyEventSchema,
    type HistoryLine,
    historyLineSchema,
    type HistoryRecorder,
} from "./lib/HistoryEvent.js";
