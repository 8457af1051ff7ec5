// Starts the bundle in this folder with the V8 code cache that the build made of it. V8 accepts the cache only if the
// same version made it from the same source; otherwise it compiles the bundle, which adds about 40 ms to the start.
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { dirname, join } = require("node:path");
const { createServer } = require("node:net");
const { Script } = require("node:vm");

/** Signals that come before the bundle handles them. */
const handled = ["SIGTERM", "SIGHUP"];
const early = [];
const keep = signal => early.push(signal);
handled.forEach(signal => process.on(signal, keep));

/** Maximum number of connections that wait while the bundle loads: as many as the program itself lets wait. */
const backlog = 128;
const bundle = join(__dirname, "gateway.cjs");
const cache = join(__dirname, "gateway.cache");

/** Loads the bundle, with the code cache if V8 accepts it. */
function loadBundle() {
    const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, "utf8")}\n})`;
    const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
    const script = new Script(source, { filename: bundle, cachedData });
    const bundled = { exports: {} };
    script.runInThisContext().call(bundled.exports, bundled.exports, require, bundled, bundle, dirname(bundle));
    return { script, main: bundled.exports.main };
}

/** Starts the program, and hands on the signals that have come before. */
function start(listener) {
    loadBundle().main(listener);
    handled.forEach(signal => process.off(signal, keep));
    early.forEach(signal => process.emit(signal, signal));
}

/** Returns the value of a command-line option. */
function option(name) {
    const index = process.argv.indexOf(name);
    return index === -1 ? undefined : process.argv[index + 1];
}

if (process.argv.includes("--write-cache")) {
    // Written after the bundle has loaded, so that the cache also holds the functions compiled while it loads.
    writeFileSync(cache, loadBundle().script.createCachedData());
}
else {
    const callers = option("--callers");
    if (callers === undefined) {
        start();
    }
    else {
        // Connections that arrive while the bundle loads wait in the listener's backlog instead of being refused.
        const colon = callers.lastIndexOf(":");
        const listener = createServer();
        const [host, port] = [callers.slice(0, colon), Number(callers.slice(colon + 1))];
        listener.listen({ host, port, backlog }, () => start(listener));
    }
}
