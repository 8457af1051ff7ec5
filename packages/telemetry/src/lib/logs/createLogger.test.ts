import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger } from "./createLogger.js";

test("lines contain process and prefix, and secrets are redacted at every depth", () => {
    const lines: string[] = [];
    const destination = { write: (line: string) => void lines.push(line) };
    const logger = createLogger({ process: "entry-1", part: "transport", destination });
    const secret = "hush-hush";
    logger.info({
        secret,
        headers: { authorization: secret },
        settings: { credentials: { keys: [secret] }, link: { token: secret } },
    }, "link opened");
    const [line = ""] = lines;
    assert.equal(line.includes(secret), false, line);
    const parsed = JSON.parse(line) as { msg: string; process: string; };
    assert.equal(parsed.msg, "transport: link opened");
    assert.equal(parsed.process, "entry-1");
});

test("the process named by a child logger appears once in each line", () => {
    const lines: string[] = [];
    const logger = createLogger({ destination: { write: line => void lines.push(line) } });
    logger.child({ process: "entry" }).info("takes callers");
    const [line = ""] = lines;
    assert.equal(line.match(/"process":/g)?.length, 1, line);
    assert.doesNotMatch(line, /"(pid|hostname)":/);
});
