// A reporter for Node's test runner that writes one JSON line for each test that ran.

/**
 * Reports the outcomes that known-red.mjs needs. Skipped tests are left out since they did not run, and tests marked as
 * to do since they cannot fail.
 */
export default async function* reportOutcomes(source) {
    for await (const { type, data } of source) {
        if (type !== "test:pass" && type !== "test:fail") {
            continue;
        }
        const ran = data.skip === undefined && data.todo === undefined;
        const onlySubtestsFailed = data.details?.error?.failureType === "subtestsFailed";
        if (ran && !onlySubtestsFailed) {
            yield `${JSON.stringify({ name: data.name, file: data.file, passed: type === "test:pass" })}\n`;
        }
    }
}
