import { callGateway, serve, type TargetBehaviour } from "@waxwingspar/platform/testing";
import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { GatewayUnderTest } from "./GatewayUnderTest.js";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const timeout = 180_000;
const random = seededRandom(84);

before(() => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
});

/** Sends some signals in a row. @returns Whether one of them stops the process. */
async function sendSeries(gateway: GatewayUnderTest, mayStop: boolean): Promise<boolean> {
    let stops = false;
    for (let count = 1 + random.below(6); count > 0; count--) {
        const isStop = mayStop && random.next() < 0.6;
        stops ||= isStop;
        gateway.signal(isStop ? "SIGTERM" : "SIGHUP");
        await pause(random.below(20));
    }
    return stops;
}

/** Waits until the program has begun to listen, which it does before it has loaded. */
async function begins({ callerPort }: GatewayUnderTest): Promise<void> {
    for (;;) {
        const socket = connect(callerPort, "127.0.0.1");
        const isOpen = await once(socket, "connect").then(() => true, () => false);
        socket.destroy();
        if (isOpen) {
            return;
        }
        await pause(1);
    }
}

const slowly: TargetBehaviour = (seen, response, target) =>
    void setTimeout(() => serve(seen, response, target), seen.path === "/get/ordinary" ? 0 : 200 + random.below(600));

// Guards against a second signal in a planned stop that cuts what runs.
test("any series of signals in operation is one planned stop or none", { timeout }, async context => {
    for (let play = 0; play < 4; play++) {
        const gateway = new GatewayUnderTest({ behaviour: slowly });
        context.after(() => gateway.stop());
        await gateway.start();
        await sendSeries(gateway, false);
        const arrived = gateway.seen.length;
        const requests = Array.from({ length: 20 }, (_, number) => {
            return callGateway({ port: gateway.callerPort, path: `/order/${number}`, method: "POST", body: "x" });
        });
        while (gateway.seen.length < arrived + requests.length) {
            await pause(5);
        }
        while (!await sendSeries(gateway, true)) {
            assert.ok(gateway.isRunning);
        }
        const replies = await Promise.all(requests);
        assert.ok(replies.every(({ status, isComplete }) => status === 200 && isComplete));
        await sendSeries(gateway, true);
        assert.equal(await gateway.waitForEnd(), "0");
    }
});

// Guards against a signal that comes before its handler and ends the process.
test("any series of signals at a start is one planned stop or none", { timeout }, async context => {
    for (let play = 0; play < 6; play++) {
        const gateway = new GatewayUnderTest();
        context.after(() => gateway.stop());
        await gateway.launch();
        await begins(gateway);
        if (await sendSeries(gateway, play % 2 === 1)) {
            assert.equal(await gateway.waitForEnd(), "0");
        }
        else {
            await gateway.becomesReady();
        }
    }
});
