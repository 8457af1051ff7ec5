import {
    type CallerReply,
    callGateway,
    serve,
    serveHead,
    stream,
    type TargetBehaviour,
} from "@waxwingspar/platform/testing";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { GatewayUnderTest } from "./GatewayUnderTest.js";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const timeout = 180_000;
const longBody = "x".repeat(300_000);
const isOrdinary = (path: string) => path === "/get/ordinary";

before(() => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
});

/** Answers with a head that the lenient parser takes and the writer refuses, in the form that the path names. */
const spoil = (sound: TargetBehaviour): TargetBehaviour => (seen, response, target) => {
    const [, , kind = ""] = seen.path.split("/");
    const body = kind.startsWith("long") ? longBody : "id: 0\ndata: x\n\n";
    const odd: TargetBehaviour = serveHead("HTTP/1.1 200 OK", [`X-Odd: a\u0001b`], body);
    (isOrdinary(seen.path) ? sound : odd)(seen, response, target);
};

// Guards against successes without their head, and requests without an answer, whichever heads the parser lets through.
test("a head that the parser takes and the writer refuses never becomes an answer", { timeout }, async context => {
    const gateway = new GatewayUnderTest({
        behaviour: spoil(serve),
        streamBehaviour: spoil(stream(3)),
        nodeOptions: ["--insecure-http-parser"],
    });
    context.after(() => gateway.stop());
    await gateway.start();
    for (const route of ["get", "order", "chat", "once"]) {
        for (const kind of ["short", "long"]) {
            const call = {
                port: gateway.callerPort,
                path: `/${route}/${kind}`,
                method: "POST",
                body: "x",
                patience: 8_000,
            };
            const reply: CallerReply | undefined = await callGateway(call).catch(() => undefined);
            assert.ok(reply !== undefined, `${call.path} got no answer`);
            assert.deepEqual([reply.status, reply.isComplete], [502, true], call.path);
        }
    }
    await gateway.serveOrdinaryCaller();
});
