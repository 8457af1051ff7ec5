import { type Hello, type Message } from "@waxwingspar/transport";

type Role = Hello["role"];

const fromEntries: readonly Role[] = ["entry", "tool"];
const fromAgents: readonly Role[] = ["agent"];
const fromBoth: readonly Role[] = ["entry", "tool", "agent"];

/** The roles that may send each type of message to an agent. Types that are not listed are not meant for agents. */
const senders: Partial<Record<Message["type"], readonly Role[]>> = {
    open: fromEntries,
    call: fromEntries,
    callCancel: fromEntries,
    replyCredit: fromEntries,
    credit: fromBoth,
    cancel: fromBoth,
    join: fromAgents,
    joined: fromAgents,
    frame: fromAgents,
    sampled: fromAgents,
    stageFailed: fromAgents,
};

/** Returns true if an agent accepts messages of this type from a peer with this role. @internal */
export function isAcceptedFrom(role: Role, type: Message["type"]): boolean {
    return senders[type]?.includes(role) === true;
}
