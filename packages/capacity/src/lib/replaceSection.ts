import { assert } from "@waxwingspar/utils";

/**
 * Replaces the text between the markers `<!-- begin NAME -->` and `<!-- end NAME -->` of a Markdown page.
 *
 * @param page - The text of the page. It must hold both markers.
 * @public
 */
export function replaceSection(page: string, name: string, content: string): string {
    const begin = `<!-- begin ${name} -->\n`;
    const end = `<!-- end ${name} -->`;
    const from = page.indexOf(begin);
    const to = page.indexOf(end);
    assert(from >= 0 && to > from, `the page has no section ${name}`);
    return `${page.slice(0, from + begin.length)}${content}\n${page.slice(to)}`;
}
