import { createHash } from "node:crypto";

const maxNameLength = 63;
const maxIndexLength = 6;
const digestLength = 20;

/**
 * Returns the common prefix of the names of a model's placements in a data centre.
 *
 * @internal
 */
export function placementPrefix(model: string, dataCentre: string): string {
    const readable = `${model}.${dataCentre}.`;
    if (readable.length + maxIndexLength <= maxNameLength) {
        return readable;
    }
    return `p-${createHash("sha256").update(readable).digest("hex").slice(0, digestLength)}.`;
}

/**
 * Returns the placement name with the lowest unused index. Two holders that create a placement at the same time choose
 * the same name, so only one of them succeeds.
 *
 * @internal
 */
export function freePlacementName(model: string, dataCentre: string, used: ReadonlySet<string>): string {
    const prefix = placementPrefix(model, dataCentre);
    for (let index = 0;; index++) {
        const name = `${prefix}${index}`;
        if (!used.has(name)) {
            return name;
        }
    }
}
