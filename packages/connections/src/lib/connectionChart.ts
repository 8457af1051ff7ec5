import { type ChartDefinition, StateChart } from "@waxwingspar/utils";

/** How far the connection of a client has come. */
export type ConnectionState = "keeping" | "ending" | "finishing" | "told" | "closed";

/**
 * `end`: this process wants the connection to end. `finish`: no further request can be read. `tell`: the head of an answer
 * that closes the connection has been written, or the client has ended it. `close`: nothing is read or written any more.
 */
export type ConnectionEvent = "end" | "finish" | "tell" | "close";

const definition: ChartDefinition<ConnectionState, ConnectionEvent> = {
    initial: "keeping",
    states: {
        /** Requests are read, and their answers keep the connection. */
        keeping: { on: { end: "ending", finish: "finishing", tell: "told", close: "closed" } },
        /** Requests are read; the answer behind which nothing has been received closes the connection. */
        ending: { on: { finish: "finishing", tell: "told", close: "closed" } },
        /** Nothing more is read; the answer to the last request that was read closes the connection. */
        finishing: { on: { tell: "told", close: "closed" } },
        /** The client knows that what follows does not run. */
        told: { on: { close: "closed" } },
        closed: {},
    },
};

/** Creates the state chart of a connection, the only record of whether its client knows that it closes. */
export function createConnectionChart(): StateChart<ConnectionState, ConnectionEvent> {
    return new StateChart(definition);
}
