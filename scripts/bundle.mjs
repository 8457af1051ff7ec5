// Bundles the gateway into target/gateway.mjs, from the sources, without anything that it does not load.
import { build } from "esbuild";
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
    outfile: join(target, "gateway.mjs"),
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    alias,
    minify: true,
    // Some libraries are CommonJS and call require for Node's own modules.
    banner: { js: "import{createRequire}from\"node:module\";const require=createRequire(import.meta.url);" },
    logLevel: "warning",
});
// State charts are read beside the module that names them, which is the bundle.
copyFileSync("packages/gateway/src/lib/duty/placementLease.json", join(target, "placementLease.json"));
