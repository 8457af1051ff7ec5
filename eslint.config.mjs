import tsdoc from "eslint-plugin-tsdoc";
import { defineConfig } from "eslint/config";
import tseslint from "typescript-eslint";

export default defineConfig(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        extends: [tseslint.configs.recommendedTypeChecked],
        plugins: { tsdoc },
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "tsdoc/syntax": "error",
            eqeqeq: "error",
            curly: "error",
            "no-console": "error",
            "max-lines": ["error", 400],
            "@typescript-eslint/no-restricted-types": ["error", { types: { null: "Use undefined." } }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: ["function", "classMethod"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        // node:test returns promises that the runner itself awaits; an async fake often has nothing to await.
        files: ["packages/**/*.test.ts", "platform/**/*.test.ts"],
        rules: {
            "@typescript-eslint/no-floating-promises": "off",
            "@typescript-eslint/require-await": "off",
        },
    },
);
