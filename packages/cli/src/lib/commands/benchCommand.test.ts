import { createLogger } from "@waxwingspar/telemetry";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import { CommanderError } from "commander";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
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

async function folderOf(context: TestContext): Promise<string> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-bench-"));
    context.after(() => rm(folder, { recursive: true }));
    return folder;
}

test("bench reports every planned call of a local site, in three forms", async context => {
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
    const folder = await folderOf(context);
    const [json, markdown, svg] = ["figures.json", "report.md", "plot.svg"].map(name => join(folder, name));
    const load = ["--rate", "50", "--duration", "0.4", "--max-tokens", "5", "--service-share", "0.3", "--seed", "3"];
    const files = ["--json", json ?? "", "--markdown", markdown ?? "", "--svg", svg ?? ""];
    const { code, text } = await runBench("--callers", `http://${host}:${port}`, ...load, ...files);
    assert.equal(code, 0, text);
    const figures = figuresSchema.parse(JSON.parse(await readFile(json ?? "", "utf8")));
    assert.ok(figures.calls > 0);
    assert.deepEqual(figures.outcomes, { completed: figures.calls });
    assert.equal(await readFile(markdown ?? "", "utf8"), text);
    assert.match(await readFile(svg ?? "", "utf8"), /^<svg /);
});

test("bench fails when nobody answers, and tells so", async () => {
    const { code, text } = await runBench("--callers", "http://127.0.0.1:1", "--rate", "100", "--duration", "0.1");
    assert.equal(code, 1);
    assert.match(text, /\| not connected \| \d+ \|/);
});

test("bench refuses wrong options and files before it sends anything", async context => {
    const wrong = [["--rate", "0"], ["--service-share", "1.5"], ["--callers", "127.0.0.1:8080"], ["--seed", "x"]];
    for (const options of wrong) {
        const { code, text } = await runBench(...options);
        assert.equal(code, 1, text);
        assert.match(text, /expected a/);
    }
    assert.equal((await runBench("--rate", "100000", "--duration", "80000")).code, 2);
    const file = join(await folderOf(context), "organisations.json");
    await writeFile(file, "[]");
    assert.equal((await runBench("--organisations", file)).code, 2);
});
