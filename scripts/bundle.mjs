// Bundles the gateway into target/gateway.cjs, from the sources, without anything that it does not load, and makes the
// code cache that start-cached.cjs starts it with.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, readdirSync } from "node:fs";
import { join } from "node:path";

const target = "target";
const folders = readdirSync("packages").map(name => [name, join("packages", name)]);
const alias = Object.fromEntries(
    [...folders, ["platform", "platform"]].map(([name, folder]) => [
        `@waxwingspar/${name}`,
        `./${join(folder, "src/index.ts")}`,
    ]),
);

mkdirSync(target, { recursive: true });
await build({
    entryPoints: ["packages/cli/src/gateway.ts"],
    outfile: join(target, "gateway.cjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    alias,
    minify: true,
    banner: { js: "const bundleUrl=require(\"node:url\").pathToFileURL(__filename).href;" },
    define: { "import.meta.url": "bundleUrl" },
    logLevel: "warning",
});
// State charts are read beside the module that names them, which is the bundle.
copyFileSync("packages/gateway/src/lib/duty/placementLease.json", join(target, "placementLease.json"));
copyFileSync("scripts/start-cached.cjs", join(target, "start.cjs"));
// Without options, as in the deploy file: V8 refuses a cache, and Node its own, where options of V8 differ.
execFileSync(process.execPath, [join(target, "start.cjs"), "--write-cache"]);
