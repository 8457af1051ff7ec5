/**
 * Replies for tests of HTTP clients.
 *
 * @packageDocumentation
 */
export { type CutReply, findMisread, listCutReplies, type MisreadOptions, type SeenReply } from "./cutReplies.js";
