// A reporter of Node's test runner that writes one JSON line for each test that ended.

/** Tells the outcomes that known-red.mjs needs: a test that was skipped has not run, one marked as to do cannot fail. */
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
