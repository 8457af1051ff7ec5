// Bundles the gateway from its sources into target/gateway.cjs, with only the modules that it loads, and writes the V8
// code cache with which start-cached.cjs starts it.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { copyFileSync, mkdirSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const target = "target";
const folders = readdirSync("packages").map(name => [name, join("packages", name)]);
const alias = Object.fromEntries([...folders, ["platform", "platform"]].flatMap(listEntries));

/** Lists the names under which a package is imported, with their sources. */
function listEntries([name, folder]) {
    const { exports } = JSON.parse(readFileSync(join(folder, "package.json"), "utf8"));
    return Object.entries(exports).map(([entry, { default: file }]) => [
        join(`@waxwingspar/${name}`, entry),
        `./${join(folder, file.replace("dist/", "src/").replace(".js", ".ts"))}`,
    ]);
}

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
// A module reads its state chart from its own folder, which for the bundle is the target folder.
copyFileSync("packages/gateway/src/lib/duty/placementLease.json", join(target, "placementLease.json"));
copyFileSync("scripts/start-cached.cjs", join(target, "start.cjs"));
// Without options, as in the deploy file: V8 and Node.js reject code caches made with other V8 options.
execFileSync(process.execPath, [join(target, "start.cjs"), "--write-cache"]);
