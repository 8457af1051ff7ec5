/**
 * Runs a function once the input that has arrived by now has been read. The turn of the event loop that is running may
 * have looked for input before; the next one looks again.
 *
 * @public
 */
export function afterInput(callback: () => void): void {
    setImmediate(() => setImmediate(callback));
}
