// Lists the headers that pages about the platform name and that platform/ neither reads, writes nor leaves unread for a
// reason: node scripts/check-wire-words.mjs PAGE... Run it on the pages of the platform before each landing; they are not
// part of this repository.
import { readFileSync } from "node:fs";
import { listKnownHeaders } from "../platform/dist/index.js";

const headerName = "[A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)+";
/** A header in backticks, with or without a value, or at the start of a line of an example. */
const namedHeader = new RegExp(`\`(${headerName})(?::[^\`]*)?\`|^\\s*(${headerName}): `, "gm");

const pages = process.argv.slice(2);
if (pages.length === 0) {
    console.error("usage: node scripts/check-wire-words.mjs PAGE...");
    process.exit(2);
}
const known = new Set(listKnownHeaders());
const unknown = new Set();
for (const page of pages) {
    for (const [, quoted, example] of readFileSync(page, "utf8").matchAll(namedHeader)) {
        const name = quoted ?? example;
        if (!known.has(name.toLowerCase())) {
            unknown.add(`${name} (${page})`);
        }
    }
}
unknown.forEach(name => console.log(name));
console.log(`${unknown.size} headers without a reader or a reason`);
process.exit(unknown.size === 0 ? 0 : 1);
