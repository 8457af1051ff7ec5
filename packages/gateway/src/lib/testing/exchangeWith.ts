import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { Exchange, type ExchangeFailure } from "../upstream/Exchange.js";

/** What became of an exchange. */
export interface ExchangeResult {
    readonly body: string;
    readonly failure: ExchangeFailure | undefined;
}

/** Starts a server that answers each connection once it has sent something. */
export async function listen(answer: (socket: Socket) => void): Promise<Server> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => answer(socket));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
}

/** Makes one exchange with a server on loopback. */
export function exchange(port: number, maySend = true): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const finish = (failure?: ExchangeFailure) => resolve({ body: Buffer.concat(chunks).toString(), failure });
        Exchange.open({
            host: "127.0.0.1",
            port,
            method: "GET",
            path: "/",
            headers: ["Host", "x", "Connection", "close"],
            body: undefined,
            connectTimeout: 1_000,
            maySend: () => maySend,
            listener: {
                onHead: () => undefined,
                onData: chunk => chunks.push(chunk),
                onEnd: () => finish(),
                onFailure: finish,
            },
        });
    });
}

/** Makes one exchange with a server that answers as given. */
export async function exchangeWith(answer: (socket: Socket) => void): Promise<ExchangeResult> {
    const server = await listen(answer);
    const result = await exchange((server.address() as AddressInfo).port);
    server.close();
    return result;
}
