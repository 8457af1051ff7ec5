import {
    type Address,
    type Hello,
    type Link,
    type LinkPair,
    linkPair,
    type LinkPool,
    type RpcMethod,
} from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** A process that accepts links. @internal */
export interface TestHost {
    readonly hello: Hello;
    readonly methods: () => Readonly<Record<string, RpcMethod>>;
    readonly accept: (link: Link) => void;
}

/** An open connection between two processes. @internal */
export interface TestConnection {
    readonly from: string;
    readonly to: string;
    readonly pair: LinkPair;
}

/**
 * An in-memory network between processes. The host of an address is the name of the process.
 *
 * @internal
 */
export class TestNetwork {
    readonly connections: TestConnection[] = [];
    private readonly hosts = new Map<string, TestHost>();

    constructor(private readonly clock: Clock, private readonly delay = 0) {}

    listen(host: TestHost): void {
        this.hosts.set(host.hello.process, host);
    }

    /** Simulates the death of a process: its links close, and no new ones can be opened. */
    kill(name: string): void {
        this.hosts.delete(name);
        this.between(name).forEach(({ pair }) => pair.cut());
    }

    /** Returns the open connections of a process, or those between two processes. */
    between(name: string, other?: string): TestConnection[] {
        return this.connections.filter(({ from, to, pair }) =>
            pair.left.open && (from === name || to === name) && (other === undefined || from === other || to === other)
        );
    }

    /** Holds back all messages in one direction. */
    holdDirection(from: string, to: string): void {
        for (const connection of this.between(from, to)) {
            const direction = connection.from === from ? connection.pair.leftToRight : connection.pair.rightToLeft;
            direction.hold();
        }
    }

    createPool(from: TestHost): LinkPool {
        const links = new Map<string, Link>();
        const openHandlers: ((link: Link, address: Address) => void)[] = [];
        const connect = ({ host, port }: Address): Promise<Outcome<Link>> => {
            const existing = links.get(host);
            if (existing?.open === true) {
                return Promise.resolve(Result.ok(existing));
            }
            const to = this.hosts.get(host);
            if (to === undefined) {
                return Promise.resolve(
                    Result.err(failure(transportCodes.notConnected, `no process listens at ${host}`)),
                );
            }
            const pair = linkPair({
                left: { hello: from.hello, methods: from.methods() },
                right: { hello: to.hello, methods: to.methods() },
                clock: this.clock,
                delay: this.delay,
            });
            this.connections.push({ from: from.hello.process, to: host, pair });
            links.set(host, pair.left);
            to.accept(pair.right);
            openHandlers.forEach(handler => handler(pair.left, { host, port }));
            return Promise.resolve(Result.ok(pair.left));
        };
        return {
            connect,
            current: ({ host }) => links.get(host),
            onOpen: handler => void openHandlers.push(handler),
            close: () => links.forEach(link => link.close()),
        };
    }
}

/** Creates the `hello` message of a test process. @internal */
export function testHello(process: string, role: Hello["role"], incarnation = `${process}-1`): Hello {
    return { type: "hello", protocol: 1, process, role, incarnation, dataCentre: "d1" };
}
