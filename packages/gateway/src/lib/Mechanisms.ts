/**
 * Optional mechanisms of a gateway, each with its description. One can be switched off to measure its effect, or to
 * rule it out while a fault is traced. All are on by default. Rules that callers and targets rely on cannot be switched
 * off.
 */
const mechanismTable = {
    "second-copies": "idle targets hold a second copy of layer ranges that are large or short of capacity",
    "in-use-targets": "targets with requests in flight give up no layers for a repair",
    neighbours: "targets next to a gap take layers that they have memory for before idle targets do",
    "shift-patience": "boundaries between layer ranges move only after a data centre was without a chain for some time",
    "slow-targets": "chains and plans avoid targets whose reports show that they are slow",
    "mixed-chains": "chains may span data centres while a data centre has no complete chain",
    "crossing-allowance": "chains between data centres get no more new requests than their links can carry",
    "chain-room": "chains with free capacity are preferred to full ones",
    "several-chains": "data centres use several chains, and a full target lowers their room instead of being avoided",
    "timed-choice": "chains are chosen by predicted times of their events instead of by their requests",
    "chain-surveys": "targets of a silent chain are asked for reports, and streams avoid a target that does not answer",
    "survey-intervals": "how soon a silent chain is checked depends on the event intervals of its streams",
    "stall-patience": "streams stay on a chain that is silent while its targets answer",
    penalties: "a target that fails repeatedly is avoided for longer each time",
    "resume-spread": "interrupted streams resume on chains with few waiting prompts",
    "short-first": "of interrupted streams those with short prompts are prefilled first",
    "slot-admission": "requests wait for a slot, or are refused, before a head or a plain target is full",
    "hedged-sends": "an idempotent request without a reply is sent to a second target near the route's latency target",
    "second-attempts": "an idempotent request to a plain service is retried after a failure",
    "peer-confirmations": "a peer may confirm that the configuration is still the newest",
    "shared-watches": "gateways that are not relays rely on relays for changes of the store's tables",
    "peer-copies": "a gateway reads a changed configuration from a peer of its data centre before it asks the store",
    "newest-first": "a process that is short of processor time begins the newest requests first",
    "overload-refusals": "a process that is short of processor time refuses requests that it cannot begin in time",
    "concurrency-limit":
        "a process takes no more requests than its processor can carry, and closes further connections",
    "listening-pauses": "a process that would have to close many new connections stops listening for moments instead",
    "overload-withdrawal": "a process that turns callers away fails its readiness probes while most others have room",
    "start-queue": "requests are queued briefly while the process loads its configuration and target list",
} as const satisfies Readonly<Record<string, string>>;

/** The name of a mechanism. @public */
export type Mechanism = keyof typeof mechanismTable;

/** Whether a mechanism is on. @public */
export type MechanismSwitch = (mechanism: Mechanism) => boolean;

/** A {@link MechanismSwitch} with every mechanism on. */
export const allMechanismsOn: MechanismSwitch = () => true;

/** Lists each mechanism's name and description. @public */
export function listMechanisms(): readonly (readonly [Mechanism, string])[] {
    return Object.entries(mechanismTable) as [Mechanism, string][];
}

/**
 * Parses a comma-separated list of mechanisms to switch off.
 *
 * @throws Error when a name is unknown.
 * @public
 */
export function parseDisabledMechanisms(names: string): MechanismSwitch {
    const off = new Set(names.split(",").map(name => name.trim()).filter(name => name !== ""));
    for (const name of off) {
        if (!Object.hasOwn(mechanismTable, name)) {
            throw new Error(`unknown mechanism ${name}; known mechanisms: ${Object.keys(mechanismTable).join(", ")}`);
        }
    }
    return mechanism => !off.has(mechanism);
}
