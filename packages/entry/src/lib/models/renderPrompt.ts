/**
 * One message of a chat.
 *
 * @internal
 */
export interface ChatMessage {
    readonly role: string;
    readonly content: string;
}

const marker = /<\|/g;

/**
 * Renders a chat as the prompt of a model: each message behind a marker of its role, and the assistant's marker last.
 * A marker inside a message is broken up, so that no message can speak for another role.
 *
 * @internal
 */
export function renderPrompt(messages: readonly ChatMessage[]): string {
    const parts = messages.map(({ role, content }) => `<|${role}|>\n${content.replace(marker, "< |")}\n`);
    return `${parts.join("")}<|assistant|>\n`;
}
