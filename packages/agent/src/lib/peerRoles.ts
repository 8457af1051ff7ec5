import { type Hello, type Message } from "@waxwingspar/transport";

type Role = Hello["role"];

const fromEntries: readonly Role[] = ["entry", "tool"];
const fromAgents: readonly Role[] = ["agent"];
const fromBoth: readonly Role[] = ["entry", "tool", "agent"];

/** Who may send what to an agent. Messages that stand nowhere here are for others than agents. */
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

/** Whether an agent takes a message of this type from a peer with this role. @internal */
export function isTakenFrom(role: Role, type: Message["type"]): boolean {
    return senders[type]?.includes(role) === true;
}
