import { type EngineControl } from "../chains/EngineControl.js";
import { type Target } from "../directory/Target.js";

/** Reports each target that says in a report, or in a reply to an order, that it is leaving. */
export function observeEngines(engines: EngineControl, onLeaving: (target: Target) => void): EngineControl {
    return {
        async fetchReport(target, timeout) {
            const report = await engines.fetchReport(target, timeout);
            if (report?.isLeaving === true) {
                onLeaving({ ...target, startedAt: report.startedAt ?? target.startedAt });
            }
            return report;
        },
        async place(target, order, timeout) {
            const result = await engines.place(target, order, timeout);
            if (result.isLeaving === true) {
                onLeaving(target);
            }
            return result;
        },
    };
}
