// Starts the bundle beside this file with the code cache that the build made of it. V8 takes the cache only if it was made
// by the same version from the same source; otherwise it compiles the bundle, which takes some 40 ms more of the start.
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { dirname, join } = require("node:path");
const { createServer } = require("node:net");
const { Script } = require("node:vm");

const bundle = join(__dirname, "gateway.cjs");
const cache = join(__dirname, "gateway.cache");

/** Loads the bundle, from the cache where it fits. */
function loadBundle() {
    const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, "utf8")}\n})`;
    const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
    const script = new Script(source, { filename: bundle, cachedData });
    const bundled = { exports: {} };
    script.runInThisContext().call(bundled.exports, bundled.exports, require, bundled, bundle, dirname(bundle));
    return { script, main: bundled.exports.main };
}

/** The value behind an option of the command line. */
function option(name) {
    const index = process.argv.indexOf(name);
    return index === -1 ? undefined : process.argv[index + 1];
}

if (process.argv.includes("--write-cache")) {
    // Functions that have run by now are in the cache as well.
    writeFileSync(cache, loadBundle().script.createCachedData());
}
else {
    const callers = option("--callers");
    if (callers === undefined) {
        loadBundle().main();
    }
    else {
        // Callers that come while the bundle loads wait in the queue of the listener instead of being turned away.
        const colon = callers.lastIndexOf(":");
        const listener = createServer();
        listener.listen(Number(callers.slice(colon + 1)), callers.slice(0, colon), () => loadBundle().main(listener));
    }
}
