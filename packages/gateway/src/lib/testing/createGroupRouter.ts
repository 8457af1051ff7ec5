import { type Clock, type Random } from "@waxwingspar/utils";
import { type Store } from "../store/Store.js";
import { type SimulatedGateway } from "./SimulatedGroup.js";
import { SimulatedRouter } from "./SimulatedRouter.js";
import { type SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link createGroupRouter}. */
export interface GroupRouterOptions {
    readonly clock: Clock;
    readonly gateway: SimulatedGateway;
    readonly store: Store;
    readonly random: Random;
    readonly targetAt: (port: number) => SimulatedTarget;
}

/** Creates the routing modules of one gateway of a group, which shares loads and permits with the others. */
export function createGroupRouter({ clock, gateway, store, random, targetAt }: GroupRouterOptions): SimulatedRouter {
    const { address, dataCentre, exchange, size, issuerShare } = gateway;
    const router = new SimulatedRouter({
        clock,
        dataCentre,
        store,
        targetAt,
        peerLoad: headId => exchange.others.chainLoads[headId] ?? 0,
        gateways: () => size.value,
        random,
        group: {
            address,
            findIssuer: name => exchange.findIssuer(name),
            get groupSize() {
                return size.value;
            },
            get issuerShare() {
                return issuerShare.value;
            },
            send: (to, datagram) => gateway.send(to, datagram),
        },
    });
    gateway.onDatagram(datagram => router.permits.receive(datagram));
    return router;
}
