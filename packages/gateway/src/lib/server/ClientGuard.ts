import {
    type ClientLimits,
    clientLimits,
    type GuardReason,
    GuardRecord,
    MemoryBudget,
    type UnansweredInput,
} from "@waxwingspar/connections";
import { type Clock } from "@waxwingspar/utils";
import { type GatewaySettings } from "../GatewaySettings.js";
import { LineLimit } from "../observation/LineLimit.js";
import { type Observation } from "../observation/Observation.js";

/** Options of {@link ClientGuard}. */
export interface ClientGuardOptions {
    readonly clock: Clock;
    readonly settings: Pick<GatewaySettings, "maxMemory" | "maxSockets">;
    readonly observation: Observation;
}

/** What all clients of this process may occupy together, and a record of those that were turned away for what they did. */
export class ClientGuard {
    readonly budget: MemoryBudget;
    readonly limits: ClientLimits;
    private readonly record: GuardRecord;

    private readonly lines: LineLimit;

    constructor(private readonly options: ClientGuardOptions) {
        const { clock, settings, observation: { metrics, logs } } = options;
        this.lines = new LineLimit({ clock, logger: logs.process });
        this.limits = clientLimits(settings);
        this.budget = new MemoryBudget({ clock, maxBytes: this.limits.bytes });
        this.record = new GuardRecord({
            clock,
            count: reason => metrics.guardedClients.add({ reason }),
            log: reasons =>
                logs.process.warn({ reasons, held: this.budget.used }, "clients turned away for what they do"),
        });
        metrics.clientMemory.observe(() => this.budget.used);
    }

    /** Records that a connection closed with input that was not answered. */
    noteUnanswered({ requests, bytes, wasTold, age }: UnansweredInput): void {
        const { metrics, logs } = this.options.observation;
        metrics.unansweredCloses.add({ told: `${wasTold}` });
        if (this.lines.take()) {
            logs.process.warn(
                { requests, bytes, wasTold, age: Math.round(age) },
                "connection closed with unanswered input",
            );
        }
    }

    /** Records that a client was turned away. */
    note(reason: GuardReason): void {
        this.record.note(reason);
    }
}
