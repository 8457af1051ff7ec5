import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * A host as the platform reports it. The report lags a few seconds behind the actual state.
 *
 * @public
 */
export const liveHostSchema = z.object({
    /** The name of the process on the host, as in its settings. */
    process: z.string(),
    role: z.enum(["entry", "agent"]),
    /** The IP address and port where the process listens for links from other processes. */
    host: z.string(),
    port: z.number().int(),
    dataCentre: z.string(),
    region: z.string(),
    state: z.enum(["live", "leaving"]),
});

/**
 * The type of {@link liveHostSchema}.
 *
 * @public
 */
export type LiveHost = z.infer<typeof liveHostSchema>;

/**
 * The platform's list of live and leaving hosts. It lags behind the actual state.
 *
 * @public
 */
export interface LiveList {
    read(): Promise<Outcome<LiveHost[]>>;
}
