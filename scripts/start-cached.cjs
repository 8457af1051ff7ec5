// Starts the bundle in this folder with the V8 code cache that the build made of it. Without it, V8 compiles the bundle,
// which adds about 40 ms to the start. V8 does not check a cache that another build of Node.js wrote, and crashes on it, so
// a cache is used only if its first line names this process and the bundle.
"use strict";
const { createHash } = require("node:crypto");
const { readFileSync, renameSync, writeFileSync } = require("node:fs");
const { dirname, join } = require("node:path");
const { createServer } = require("node:net");
const { Script } = require("node:vm");

/** The level of warnings in the logs. */
const warnLevel = 40;
/** Signals that come before the bundle handles them. */
const handled = ["SIGTERM", "SIGHUP"];
const early = [];
const keep = signal => early.push(signal);
handled.forEach(signal => process.on(signal, keep));

/** Maximum number of connections that wait while the bundle loads: as many as the program itself lets wait. */
const backlog = 128;
const bundle = join(__dirname, "gateway.cjs");
const cache = join(__dirname, "gateway.cache");

function hash(data) {
    return createHash("sha256").update(data).digest("hex");
}

/** What a cache depends on: the program that wrote it, the source that it was made of, and its own bytes. */
function describeCache(source, data) {
    const { version, arch, versions: { v8 } } = process;
    return JSON.stringify({ version, arch, v8, source: hash(source), data: hash(data) });
}

/** Reads the code cache. Returns undefined, with a line of the log, if it does not fit. */
function readCache(source) {
    try {
        const file = readFileSync(cache);
        const end = file.indexOf("\n");
        const data = file.subarray(end + 1);
        if (file.toString("utf8", 0, Math.max(0, end)) === describeCache(source, data)) {
            return data;
        }
        logUnused("it is damaged, or of another bundle or version of Node.js");
    }
    catch (error) {
        logUnused(error.message);
    }
    return undefined;
}

function logUnused(reason) {
    const line = { level: warnLevel, time: Date.now(), reason, msg: "process: code cache not used" };
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** Loads the bundle, with the code cache if there is one that fits. */
function loadBundle(readCachedData = readCache) {
    const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, "utf8")}\n})`;
    const script = new Script(source, { filename: bundle, cachedData: readCachedData(source) });
    const bundled = { exports: {} };
    script.runInThisContext().call(bundled.exports, bundled.exports, require, bundled, bundle, dirname(bundle));
    return { source, script, main: bundled.exports.main };
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
    // Made without an older cache, and after the bundle has loaded, so that it holds the functions compiled until then.
    const { source, script } = loadBundle(() => undefined);
    const data = script.createCachedData();
    const written = `${cache}.${process.pid}`;
    writeFileSync(written, Buffer.concat([Buffer.from(`${describeCache(source, data)}\n`), data]));
    renameSync(written, cache);
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
