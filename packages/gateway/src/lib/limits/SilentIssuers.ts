import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";

interface Silence {
    /** Number of successive requests without a reply. */
    readonly requests: number;
    /** Until when the issuer is not asked. */
    readonly until: number;
}

/** Number of successive requests without a reply after which an issuer is silent: one may have been lost. */
const silentRequests = 2;
/** Milliseconds for which a silent issuer is not asked again. */
export const silenceTime = 1_000;
/** Maximum number of issuers that are remembered. */
const maxIssuers = 100;

/** The issuers of permits and slots that do not reply, by address. */
export class SilentIssuers {
    private readonly silences = new LRUCache<string, Silence>({ max: maxIssuers });

    constructor(private readonly clock: Clock) {}

    isSilent(issuer: string): boolean {
        return this.clock.now() < (this.silences.get(issuer)?.until ?? -Infinity);
    }

    recordReply(issuer: string): void {
        this.silences.delete(issuer);
    }

    /** Records that an issuer has not replied to a request. */
    recordTimeout(issuer: string): void {
        const requests = (this.silences.get(issuer)?.requests ?? 0) + 1;
        const until = requests < silentRequests ? -Infinity : this.clock.now() + silenceTime;
        this.silences.set(issuer, { requests, until });
    }
}
