import { type Random } from "@waxwingspar/utils";
import { type Direction, type LinkFault } from "./FaultProxy.js";

/** A fault of a link, for how many milliseconds it lasts, and words for the report. */
export interface DrawnLinkFault {
    readonly fault: LinkFault;
    readonly duration: number;
    readonly text: string;
}

/** Bounds of the milliseconds that a fault lasts, and by which bytes are delayed. */
const faultTime = { least: 200, most: 3_000 };
const delayTime = { least: 10, most: 120 };
const directions: readonly (readonly Direction[])[] = [["toServer"], ["toClient"], ["toServer", "toClient"]];

/** Draws a fault of a link. */
export function drawLinkFault(random: Random): DrawnLinkFault {
    const draw = ({ least, most }: typeof faultTime) => least + random.next() * (most - least);
    const faults: readonly (() => LinkFault)[] = [
        () => ({ kind: "delayed", delay: draw(delayTime) }),
        () => ({ kind: "reset" }),
        () => ({ kind: "silent", directions: directions[random.below(directions.length)] ?? [] }),
    ];
    const fault = faults[random.below(faults.length)]?.() ?? { kind: "reset" };
    const duration = draw(faultTime);
    const detail = fault.kind === "silent"
        ? `silent ${fault.directions.join(" and ")}`
        : fault.kind === "delayed"
        ? `delayed by ${Math.round(fault.delay)} ms`
        : "reset";
    return { fault, duration, text: `${detail} for ${Math.round(duration)} ms` };
}
