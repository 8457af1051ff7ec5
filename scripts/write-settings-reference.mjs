// Writes docs/SETTINGS.md from the schemas of the settings. Needs a build.
import { writeFileSync } from "node:fs";
import { renderReference } from "../packages/cli/dist/lib/settings/renderReference.js";

writeFileSync(new URL("../docs/SETTINGS.md", import.meta.url), renderReference());
