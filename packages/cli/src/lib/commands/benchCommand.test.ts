import { createLogger } from "@waxwingspar/telemetry";
import { requestCodes, seededRandom, SystemClock } from "@waxwingspar/utils";
import { CommanderError } from "commander";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { z } from "zod";
import { createProgram } from "../createProgram.js";
import { LocalSite } from "../site/LocalSite.js";

const figuresSchema = z.object({ calls: z.number(), outcomes: z.record(z.string(), z.number()) });

/** Runs `waxwingspar bench` in this process. */
async function runBench(...options: string[]): Promise<{ code: number | undefined; text: string; }> {
    let text = "";
    let code: number | undefined;
    const write = (part: string): void => {
        text += part;
    };
    const program = createProgram({ output: { write, writeError: write }, exit: chosen => code = chosen });
    try {
        await program.parseAsync(["node", "waxwingspar", "bench", ...options]);
    }
    catch (error) {
        assert.ok(error instanceof CommanderError);
        code = error.exitCode;
    }
    return { code, text };
}

async function createFolder(context: TestContext): Promise<string> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-bench-"));
    context.after(() => rm(folder, { recursive: true }));
    return folder;
}

const load = ["--rate", "50", "--duration", "0.4", "--max-tokens", "5", "--service-share", "0.3", "--seed", "3"];

/** Starts an HTTP server that refuses every third model request, and counts the requests it gets. */
async function startFakeSite(context: TestContext): Promise<{ origin: string; counts: Record<string, number>; }> {
    const counts = { model: 0, service: 0, refused: 0 };
    const token = `data: ${JSON.stringify({ choices: [{ text: "a", finish_reason: "length" }] })}\n\n`;
    const server = createServer((request, response) => {
        if (request.method === "GET") {
            counts.service++;
            response.end("[]");
            return;
        }
        counts.model++;
        if (counts.model % 3 === 0) {
            counts.refused++;
            response.writeHead(503).end(JSON.stringify({ error: { number: requestCodes.overloaded.number } }));
            return;
        }
        response.writeHead(200).end(`${token}data: [DONE]\n\n`);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => server.close());
    return { origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, counts };
}

test("bench reports every planned call as JSON, Markdown and SVG", async context => {
    const { origin, counts } = await startFakeSite(context);
    const folder = await createFolder(context);
    const files = {
        json: join(folder, "figures.json"),
        markdown: join(folder, "report.md"),
        svg: join(folder, "a.svg"),
    };
    const options = Object.entries(files).flatMap(([name, file]) => [`--${name}`, file]);
    const { code, text } = await runBench("--callers", origin, ...load, ...options);
    assert.equal(code, 0, text);
    const { model = 0, service = 0, refused = 0 } = counts;
    assert.ok(refused > 0 && service > 0, "the plan contains every kind of call");
    const { calls, outcomes } = figuresSchema.parse(JSON.parse(await readFile(files.json, "utf8")));
    assert.equal(calls, model + service);
    const { number, name } = requestCodes.overloaded;
    assert.deepEqual(outcomes, { completed: calls - refused, [`${number} ${name}`]: refused });
    assert.equal(await readFile(files.markdown, "utf8"), text);
    assert.match(await readFile(files.svg, "utf8"), /^<svg /);
});

test("bench classifies every response of a local site, including refusals", async context => {
    const anyPort = { host: "127.0.0.1", port: 0 };
    const site = new LocalSite({
        callers: anyPort,
        operators: anyPort,
        clock: new SystemClock(),
        random: seededRandom(1),
        logger: createLogger({ process: "test", level: "silent" }),
    });
    context.after(() => site.stop());
    const { callers: { host, port } } = (await site.start()).unwrapOrElse(({ message }) => assert.fail(message));
    const file = join(await createFolder(context), "figures.json");
    await runBench("--callers", `http://${host}:${port}`, ...load, "--json", file);
    const { calls, outcomes } = figuresSchema.parse(JSON.parse(await readFile(file, "utf8")));
    // The site may refuse calls on a slow machine; each call must complete or fail with a result code.
    assert.deepEqual(Object.keys(outcomes).filter(name => !/^(completed|\d{4} [a-z-]+)$/.test(name)), []);
    assert.equal(Object.values(outcomes).reduce((sum, count) => sum + count, 0), calls);
    assert.ok((outcomes["completed"] ?? 0) > 0);
});

test("bench fails and reports the calls as not connected when no server listens", async () => {
    const { code, text } = await runBench("--callers", "http://127.0.0.1:1", "--rate", "100", "--duration", "0.1");
    assert.equal(code, 1);
    assert.match(text, /\| not connected \| \d+ \|/);
});

test("bench rejects invalid options and files before it sends a call", async context => {
    const wrong = [["--rate", "0"], ["--service-share", "1.5"], ["--callers", "127.0.0.1:8080"], ["--seed", "x"]];
    for (const options of wrong) {
        const { code, text } = await runBench(...options);
        assert.equal(code, 1, text);
        assert.match(text, /expected a/);
    }
    assert.equal((await runBench("--rate", "100000", "--duration", "80000")).code, 2);
    const file = join(await createFolder(context), "organisations.json");
    await writeFile(file, "[]");
    assert.equal((await runBench("--organisations", file)).code, 2);
});
