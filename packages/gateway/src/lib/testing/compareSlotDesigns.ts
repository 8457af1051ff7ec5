import { otherDesigns } from "./slotDesigns.js";
import { SlotSite } from "./SlotSite.js";

const seeds = [1, 2, 3];
const dataCentres = 3;
const headsEach = 2;
const room = 67;
const slots = dataCentres * headsEach * room;
/** Requests per second that take all slots for 3.5 s each. */
const capacity = slots / 3.5;
const settleTime = 6_000;
const measuredTime = 9_000;
const loads = [{ load: 1.16, skew: 0 }, { load: 1.5, skew: 0 }, { load: 1.16, skew: 0.4 }];
const columns = [
    "gateways",
    "load, share of capacity",
    "share of requests at one gateway",
    "design",
    "served in time, share of capacity",
    "slots used",
    "worst over-admission, share of room",
    "mean over-admission",
    "messages a request",
];

function write(cells: readonly (string | number)[]): void {
    process.stdout.write(`| ${cells.join(" | ")} |\n`);
}

write(columns);
write(columns.map(() => "---"));
for (const gatewaysEach of [2, 14]) {
    for (const { load, skew } of loads) {
        for (const design of ["grants", "shares", "sampling"] as const) {
            const createAdmission = design === "grants" ? undefined : otherDesigns[design];
            let inTime = 0;
            let requests = 0;
            let messages = 0;
            let used = 0;
            let excess = 0;
            let worst = 0;
            for (const seed of seeds) {
                const options = { seed, gatewaysEach, headsEach, room, load: capacity * load, skew, createAdmission };
                const site = new SlotSite(options);
                await site.run(settleTime);
                site.heads.forEach(head => Object.assign(head, { used: 0, excess: 0, worstExcess: 0 }));
                site.results.length = 0;
                site.slotMessages = 0;
                await site.run(measuredTime);
                inTime += site.results.filter(({ isInTime }) => isInTime).length;
                requests += site.results.length;
                messages += site.slotMessages;
                used += site.heads.reduce((sum, head) => sum + head.used, 0);
                excess += site.heads.reduce((sum, head) => sum + head.excess, 0);
                worst = Math.max(worst, ...site.heads.map(head => head.worstExcess / room));
            }
            const slotTime = slots * measuredTime * seeds.length;
            const served = inTime / (capacity * measuredTime * seeds.length / 1_000);
            const shares = [served, used / slotTime, worst, excess / slotTime];
            const cells = shares.map(share => share.toFixed(3));
            write([dataCentres * gatewaysEach, load, skew, design, ...cells, (messages / requests).toFixed(2)]);
        }
    }
}
