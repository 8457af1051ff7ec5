/**
 * Authenticated TCP links between processes: framed messages and JSON-RPC.
 *
 * @packageDocumentation
 */
export { type Link, type RpcMethod } from "./lib/Link.js";
export { type Address, type LinkPool } from "./lib/LinkPool.js";
export {
    type LinkDirection,
    type LinkEndOptions,
    type LinkPair,
    linkPair,
    type LinkPairOptions,
} from "./lib/memory/linkPair.js";
export {
    type Hello,
    helloSchema,
    type LoadReport,
    loadReportSchema,
    protocolVersion,
    type WireFailure,
    wireFailureSchema,
} from "./lib/messages/common.js";
export { type Message, messageSchema } from "./lib/messages/Message.js";
export {
    type DoneMessage,
    type Exporter,
    exporterSchema,
    type FailedMessage,
    type FrameMessage,
    type JoinMessage,
    type OpenMessage,
    type Sampling,
    samplingSchema,
    type Stage,
    stageSchema,
    type TokensMessage,
} from "./lib/messages/pipelineMessages.js";
export { type CallMessage, type ReplyHeaders, replyHeadersSchema } from "./lib/messages/serviceMessages.js";
export { type LinkCredentials, linkCredentialsSchema } from "./lib/tcp/credentials.js";
export { LinkServer, type LinkServerOptions } from "./lib/tcp/LinkServer.js";
export { type LinkLimits } from "./lib/tcp/TcpLink.js";
export { TcpLinkPool, type TcpLinkPoolOptions } from "./lib/tcp/TcpLinkPool.js";
