import { z } from "zod";
import { type SettingsRole, settingsSchemas } from "./loadSettings.js";

const introductions: Record<SettingsRole, string> = {
    entry: "`waxwingspar entry FILE`",
    agent: "`waxwingspar agent FILE`",
    platform: "`waxwingspar platform FILE`: stand-ins for trials, never for a site",
    engine: "`waxwingspar engine FILE`: a fake engine for trials",
};

/** The subset of JSON Schema that the settings schemas use. */
interface JsonSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly required?: readonly string[];
    readonly items?: JsonSchema;
    readonly enum?: readonly unknown[];
    readonly const?: unknown;
    readonly anyOf?: readonly JsonSchema[];
    readonly minimum?: number;
    readonly maximum?: number;
    readonly exclusiveMinimum?: number;
    readonly pattern?: string;
    readonly format?: string;
    readonly minLength?: number;
}

/**
 * Renders the reference of all settings, docs/SETTINGS.md, from their schemas.
 *
 * @internal
 */
export function renderReference(): string {
    const roles = Object.keys(settingsSchemas) as SettingsRole[];
    return [
        "# Settings",
        "",
        "Made from the schemas by `node scripts/write-settings-reference.mjs`; a test fails when this page is out of date.",
        "",
        "A settings file is JSON with comments. `waxwingspar check settings FILE` checks one without starting anything. A",
        "wrong setting names file, line, path and what was expected, and the command exits with code 2 before any socket",
        "opens. Example files: [packages/cli/examples](../packages/cli/examples/).",
        ...roles.flatMap(renderRole),
        "",
    ].join("\n");
}

function renderRole(role: SettingsRole): string[] {
    const schema = z.toJSONSchema(settingsSchemas[role], { io: "input" }) as JsonSchema;
    return [
        "",
        `## ${role}`,
        "",
        `For ${introductions[role]}.`,
        "",
        "| field | type | default | meaning |",
        "|---|---|---|---|",
        ...renderFields(schema, ""),
    ];
}

function renderFields(schema: JsonSchema, prefix: string): string[] {
    return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
        const path = `${prefix}${name}`;
        const required = schema.required?.includes(name) === true;
        return [renderRow(path, field, required), ...renderNested(path, field)];
    });
}

function renderNested(path: string, field: JsonSchema): string[] {
    const nested = [field, ...(field.anyOf ?? [])];
    return nested.flatMap(schema =>
        schema.type === "array"
            ? renderFields(schema.items ?? {}, `${path}[].`)
            : renderFields(schema, `${path}.`)
    );
}

function renderRow(path: string, field: JsonSchema, required: boolean): string {
    const cells = [`\`${path}\``, typeOf(field), defaultOf(field, required), field.description ?? ""];
    return `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
}

function defaultOf(field: JsonSchema, required: boolean): string {
    if (field.default === undefined) {
        return required ? "required" : "none";
    }
    return `\`${JSON.stringify(field.default)}\``;
}

function typeOf(field: JsonSchema): string {
    if (field.const !== undefined) {
        return `\`${JSON.stringify(field.const)}\``;
    }
    if (field.enum !== undefined) {
        return field.enum.map(value => `\`${JSON.stringify(value)}\``).join(", ");
    }
    if (field.format === "ipv4" || field.format === "ipv6") {
        return "IP address";
    }
    if (field.anyOf !== undefined) {
        return [...new Set(field.anyOf.map(typeOf))].join(" or ");
    }
    if (field.type === "array") {
        return `list of ${typeOf(field.items ?? {})}`;
    }
    return [field.type ?? "any", rangeOf(field)].filter(part => part !== "").join(", ");
}

function rangeOf({ minimum, maximum, exclusiveMinimum, minLength, format }: JsonSchema): string {
    const parts = [
        format,
        exclusiveMinimum === undefined ? undefined : `above ${exclusiveMinimum}`,
        minimum === undefined || minimum === Number.MIN_SAFE_INTEGER ? undefined : `from ${minimum}`,
        maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? undefined : `to ${maximum}`,
        minLength === undefined || minLength === 1 ? undefined : `at least ${minLength} characters`,
    ];
    return parts.filter(part => part !== undefined).join(" ");
}
