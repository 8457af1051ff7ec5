/**
 * The entry that callers talk to: HTTP interface, routing, resume.
 *
 * @packageDocumentation
 */
export {};
