import { failure, type Outcome, resourceCodes } from "@waxwingspar/utils";
import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import { z } from "zod";
import { agentSettingsSchema } from "./agentSettings.js";
import { entrySettingsSchema } from "./entrySettings.js";
import { engineSettingsSchema, platformSettingsSchema } from "./standInSettings.js";

/** The schema of each role's settings file. @internal */
export const settingsSchemas = {
    entry: entrySettingsSchema,
    agent: agentSettingsSchema,
    platform: platformSettingsSchema,
    engine: engineSettingsSchema,
};

/** @internal */
export type SettingsRole = keyof typeof settingsSchemas;

/** @internal */
export type Settings<R extends SettingsRole> = z.infer<typeof settingsSchemas[R]>;

/**
 * Reads a settings file and checks it.
 *
 * @param role - The role that the file must name; if absent, any role is accepted.
 * @returns The settings with their defaults; or `invalidSyntax` or `invalidSettings` with one line per problem, which
 * names file, line, path and what was expected.
 * @internal
 */
export async function loadSettings<R extends SettingsRole>(path: string, role?: R): Promise<Outcome<Settings<R>>> {
    const text = await readText(path);
    return text.andThen(content => parseSettings(content, path, role));
}

/** Checks the text of a settings file; see {@link loadSettings}. @internal */
export function parseSettings<R extends SettingsRole>(text: string, path: string, role?: R): Outcome<Settings<R>> {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    const [error] = errors;
    if (error !== undefined || tree === undefined) {
        const place = `${path}:${lineAt(text, error?.offset ?? 0)}`;
        const problem = error === undefined ? "the file is empty" : printParseErrorCode(error.error);
        return Result.err(failure(resourceCodes.invalidSyntax, `${place}: expected JSON with comments: ${problem}`));
    }
    const value = getNodeValue(tree) as unknown;
    const problems = duplicateKeys(tree).map(({ node, key }) => ({ node, message: `${key}: set twice` }));
    const checked = checkSettings(value, role);
    if (!checked.success) {
        const found = checked.error.issues.flatMap(issue => describeIssue(issue, value));
        problems.push(...found.map(({ path: at, message }) => ({ node: closestNode(tree, at), message })));
    }
    if (problems.length > 0 || !checked.success) {
        const lines = problems.map(({ node, message }) => `${path}:${lineAt(text, node.offset)}: ${message}`);
        return Result.err(failure(resourceCodes.invalidSettings, lines.join("\n")));
    }
    // The schema of the role has validated the value above.
    return Result.ok(checked.data as Settings<R>);
}

async function readText(path: string): Promise<Outcome<string>> {
    try {
        return Result.ok(await readFile(path, "utf8"));
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return Result.err(failure(resourceCodes.invalidSettings, `${path}: cannot be read: ${message}`));
    }
}

const roles = Object.keys(settingsSchemas) as [SettingsRole, ...SettingsRole[]];

function checkSettings(value: unknown, role: SettingsRole | undefined): z.ZodSafeParseResult<unknown> {
    const named = z.looseObject({ role: role === undefined ? z.enum(roles) : z.literal(role) }).safeParse(value);
    return named.success ? settingsSchemas[named.data.role].safeParse(value) : named;
}

interface Problem {
    readonly path: readonly PropertyKey[];
    readonly message: string;
}

type Issue = z.core.$ZodIssue;

function describeIssue(issue: Issue, root: unknown, prefix: readonly PropertyKey[] = []): Problem[] {
    const path = [...prefix, ...issue.path];
    switch (issue.code) {
        case "unrecognized_keys":
            return issue.keys.map(key => problem([...path, key], "expected no such field"));
        case "invalid_union":
            return describeUnion(issue.errors, path, root) ?? [problem(path, issue.message)];
        case "invalid_type":
            return [problem(path, `expected ${issue.expected}, found ${describeType(valueAt(root, path))}`)];
        case "invalid_value":
            return [problem(path, `expected ${issue.values.map(value => JSON.stringify(value)).join(" or ")}`)];
        default:
            return [problem(path, issue.message)];
    }
}

/** Returns the problems of the alternative with the fewest problems, among those with problems in nested fields. */
function describeUnion(
    alternatives: readonly (readonly Issue[])[],
    path: readonly PropertyKey[],
    root: unknown,
): Problem[] | undefined {
    const described = alternatives.map(issues => issues.flatMap(issue => describeIssue(issue, root, path)));
    const nested = described.filter(problems => problems.some(({ path: at }) => at.length > path.length));
    return nested.sort((a, b) => a.length - b.length)[0];
}

function problem(path: readonly PropertyKey[], message: string): Problem {
    return { path, message: `${path.length === 0 ? "the file" : path.join(".")}: ${message}` };
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], root);
}

function describeType(value: unknown): string {
    if (value === undefined) {
        return "nothing";
    }
    return value === null ? "null" : Array.isArray(value) ? "array" : typeof value;
}

/** Returns the node at a path, or its closest existing ancestor. */
function closestNode(tree: Node, path: readonly PropertyKey[]): Node {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(tree, path.slice(0, length).map(key => typeof key === "symbol" ? "" : key));
        if (node !== undefined) {
            return node;
        }
    }
    return tree;
}

function duplicateKeys(node: Node): { node: Node; key: string; }[] {
    const children = node.children ?? [];
    const found = children.flatMap(duplicateKeys);
    if (node.type !== "object") {
        return found;
    }
    const seen = new Set<string>();
    for (const property of children) {
        const key = String(property.children?.[0]?.value);
        if (seen.has(key)) {
            found.push({ node: property, key });
        }
        seen.add(key);
    }
    return found;
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}
