// Starts the bundle beside this file with the code cache that the build made of it. V8 takes the cache only if it was made
// by the same version from the same source; otherwise it compiles the bundle, which takes some 40 ms more of the start.
"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "gateway.cjs");
const cache = join(__dirname, "gateway.cache");

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, "utf8")}\n})`;
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, { filename: bundle, cachedData });
const bundled = { exports: {} };
script.runInThisContext().call(bundled.exports, bundled.exports, require, bundled, bundle, dirname(bundle));

if (process.argv.includes("--write-cache")) {
    // Functions that have run by now are in the cache as well.
    writeFileSync(cache, script.createCachedData());
}
else {
    bundled.exports.main();
}
