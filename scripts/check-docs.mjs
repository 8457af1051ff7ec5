// Checks the Markdown pages below a folder (default: the current one): the targets of relative links and the paths in
// the text exist, and README.md or docs/ARCHITECTURE.md links to every page of docs/.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";

const root = process.argv[2] ?? ".";
const ignoredFolders = new Set(["node_modules", "dist", ".git", "bench-out", "tmp"]);
const startPages = ["README.md", "docs/ARCHITECTURE.md"];
const fencedCode = /^```.*?^```/gms;
const link = /\]\(([^)\s]+)\)/g;
const namedPath = /(?<![\w./-])(?:packages|docs|scripts)\/[\w./-]+/g;
const scheme = /^[a-z]+:/;

function listPages(folder) {
    return readdirSync(folder, { withFileTypes: true })
        .filter(entry => !ignoredFolders.has(entry.name))
        .flatMap(entry => {
            const path = join(folder, entry.name);
            return entry.isDirectory() ? listPages(path) : path.endsWith(".md") ? [path] : [];
        });
}

/** Lists the files that a page links to, from the root, without links to other sites or within the page. */
function linkedFiles(page, text) {
    return [...text.replaceAll(fencedCode, "").matchAll(link)]
        .filter(([, address]) => !scheme.test(address) && !address.startsWith("#"))
        .map(([, address]) => join(dirname(page), decodeURI(address.split("#")[0])));
}

/** Lists the files that a text names by their path from the root, without build output, which may not exist. */
function namedFiles(text) {
    return [...text.matchAll(namedPath)]
        .map(([path]) => path.replace(/[./-]+$/, ""))
        .filter(path => !path.split("/").some(part => part === "dist" || /^[A-Z]+$/.test(part)))
        .map(path => join(root, path));
}

const pages = listPages(root).map(page => ({ page, text: readFileSync(page, "utf8") }));
const reachable = new Set(startPages.map(page => join(root, page)));
const faults = [];
for (const { page, text } of pages) {
    const links = linkedFiles(page, text);
    if (startPages.includes(relative(root, page))) {
        links.forEach(target => reachable.add(target));
    }
    for (const target of new Set([...links, ...namedFiles(text)])) {
        if (!existsSync(target)) {
            faults.push(`${relative(root, page)}: ${relative(root, target)} does not exist`);
        }
    }
}
for (const { page } of pages) {
    if (relative(root, page).startsWith("docs/") && !reachable.has(page)) {
        faults.push(`${relative(root, page)}: neither ${startPages.join(" nor ")} links to it`);
    }
}
faults.forEach(fault => console.error(fault));
console.log(`${pages.length} pages, ${faults.length} faults`);
process.exit(faults.length === 0 && pages.length > 0 ? 0 : 1);
