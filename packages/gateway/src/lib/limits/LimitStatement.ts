import * as z from "zod/mini";

/** What a target last said about its limit, as gateways tell each other. */
export const limitStatementSchema = z.object({
    /** Requests per second that the target takes from all gateways together; undefined if it has lifted its limit. */
    rate: z.optional(z.number().check(z.nonnegative())),
    /** Milliseconds since the target said so. */
    age: z.number().check(z.nonnegative()),
});

/** @public */
export type LimitStatement = z.infer<typeof limitStatementSchema>;

/** Statements by the incarnation of the target. */
export type LimitStatements = Readonly<Record<string, LimitStatement>>;

/** Adds the time for which statements were held. */
export function ageStatements(statements: LimitStatements, heldFor: number): Record<string, LimitStatement> {
    return Object.fromEntries(
        Object.entries(statements).map(([target, { rate, age }]) => [target, { rate, age: Math.round(age + heldFor) }]),
    );
}

/** Keeps the newest statement of each target. */
export function newestStatements(tables: readonly LimitStatements[]): Record<string, LimitStatement> {
    const newest: Record<string, LimitStatement> = {};
    for (const [target, statement] of tables.flatMap(table => Object.entries(table))) {
        if (statement.age < (newest[target]?.age ?? Infinity)) {
            newest[target] = statement;
        }
    }
    return newest;
}

/** Truncates a table to its newest statements. */
export function truncateStatements(statements: LimitStatements, count: number): LimitStatements {
    const entries = Object.entries(statements);
    return entries.length <= count
        ? statements
        : Object.fromEntries(entries.sort(([, a], [, b]) => a.age - b.age).slice(0, count));
}
