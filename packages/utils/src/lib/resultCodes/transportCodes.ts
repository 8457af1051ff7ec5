import { type ResultCode } from "./ResultCode.js";

/**
 * Results of messages between the system's own processes: 5000 to 5999.
 *
 * @public
 */
export const transportCodes = {
    notConnected: {
        number: 5000,
        name: "not-connected",
        execution: "not run",
        status: 503,
        retry: "later",
        summary: "No connection to the peer could be opened.",
    },
    connectionLost: {
        number: 5001,
        name: "connection-lost",
        execution: "unknown",
        status: 502,
        retry: "later",
        summary: "The connection was lost after the message may have been sent.",
    },
    peerRefused: {
        number: 5002,
        name: "peer-refused",
        execution: "not run",
        status: 403,
        retry: "no",
        summary: "The peer failed authentication.",
    },
    protocolViolation: {
        number: 5003,
        name: "protocol-violation",
        execution: "unknown",
        status: 502,
        retry: "no",
        summary: "The peer sent a message that breaks the protocol.",
    },
    noSuchMethod: {
        number: 5004,
        name: "no-such-method",
        execution: "not run",
        status: 404,
        retry: "no",
        summary: "The peer does not offer this method.",
    },
    requestTimeout: {
        number: 5005,
        name: "request-timeout",
        execution: "unknown",
        status: 504,
        retry: "later",
        summary: "The peer did not answer in time.",
    },
    peerTooSlow: {
        number: 5006,
        name: "peer-too-slow",
        execution: "unknown",
        status: 502,
        retry: "later",
        summary: "The peer read its messages too slowly, so the connection was closed.",
    },
    addressUnavailable: {
        number: 5007,
        name: "address-unavailable",
        execution: "not run",
        status: 503,
        retry: "later",
        summary: "The process cannot listen on an address that it needs, and ends.",
    },
} as const satisfies Record<string, ResultCode>;
