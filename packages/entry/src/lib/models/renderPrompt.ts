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
 * Renders a chat as the prompt of a model: each message follows the marker of its role, and the prompt ends with the
 * assistant's marker. Markers inside a message are broken up, so that no message can impersonate another role.
 *
 * @internal
 */
export function renderPrompt(messages: readonly ChatMessage[]): string {
    const parts = messages.map(({ role, content }) => `<|${role}|>\n${content.replace(marker, "< |")}\n`);
    return `${parts.join("")}<|assistant|>\n`;
}
