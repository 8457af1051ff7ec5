// Usage: node --expose-gc packages/config/dist/bench/scaleBench.js
// Measures the cost of membership, distribution tree and state at the planned maximum size of a deployment.
import { type LiveHost } from "@waxwingspar/stores";
import { SystemClock } from "@waxwingspar/utils";
import { chooseParents } from "../lib/distribution/chooseParents.js";
import { pack } from "../lib/distribution/packing.js";
import { ListHistory } from "../lib/membership/ListHistory.js";
import { Membership } from "../lib/membership/Membership.js";
import { specSchemas } from "../lib/resources/Resource.js";
import { nextEntry, RevisionState } from "../lib/revisions/RevisionState.js";
import { type DesiredChange } from "../lib/validation/parseDesired.js";
import { validateChanges } from "../lib/validation/validateChanges.js";
import { mean, quantile } from "./statistics.js";

const processes = 8500;
const centres = 18;
const targets = 6700;
const organisations = 830;
const credentials = 4000;
const rounds = 21;

const clock = new SystemClock();
const hosts = Array.from({ length: processes }, (_unused, index) => host(index));

measureMembership();
measureTree();
measureState();

function measureMembership(): void {
    const self = { ...hosts[0]!, incarnation: "i" };
    const membership = new Membership({ self, clock });
    const lists = new ListHistory();
    time("first list applied", 1, () => {
        lists.update(hosts);
        membership.updateList(hosts);
    });
    time("list read again, unchanged", rounds, () => lists.update(hosts));
    let turn = 0;
    time("list read again, one host changed", rounds, () => {
        const next = [...hosts];
        next[100] = { ...next[100]!, port: 20_000 + turn++ };
        lists.update(next);
        membership.updateList(next);
    });
    time("readers of all data centres after a change", rounds, () => {
        membership.recordFailure(hosts[200 + turn++]!.process);
        membership.dataCentres().forEach(centre => membership.readers(centre));
    });
    time("readers of all data centres, nothing changed", rounds, () => {
        membership.dataCentres().forEach(centre => membership.readers(centre));
    });
    print(`  whole list packed: ${pack(hosts).length} bytes`);
}

/** Measures the number of children per parent and the depth of the tiers, over all processes of one data centre. */
function measureTree(): void {
    for (const fanOut of [4, 6, 8, 16]) {
        const membership = new Membership({ self: { ...hosts[0]!, incarnation: "i" }, clock });
        membership.updateList(hosts);
        const ranked = membership.ranked("dc0");
        const parents = new Map(
            ranked.map((
                { process },
            ) => [process, chooseParents({ self: process, ranked, readers: 2, fanOut, remote: [] })[0]!.process]),
        );
        const readers = new Set(ranked.slice(0, 2).map(one => one.process));
        const counts = ranked.map(one =>
            [...parents].filter(([child, parent]) => parent === one.process && !readers.has(child)).length
        );
        const depth = (name: string): number => readers.has(name) ? 0 : 1 + depth(parents.get(name) ?? "");
        const depths = ranked.map(one => depth(one.process));
        const used = counts.filter(count => count > 0);
        print(
            `fan-out ${fanOut}: ${ranked.length} processes, depth mean ${mean(depths).toFixed(2)} max ${
                Math.max(...depths)
            }, `
                + `children of a parent mean ${mean(used).toFixed(1)} p99 ${quantile(used, 0.99)} max ${
                    Math.max(...used)
                }`,
        );
    }
}

function measureState(): void {
    const state = new RevisionState();
    const changes = declare();
    const before = usedHeap();
    time(`checking ${changes.length} resources in one change`, 1, () => {
        const faults = validateChanges(state, changes);
        if (faults.length > 0) {
            throw new Error(JSON.stringify(faults[0]));
        }
    });
    time(`accepting ${changes.length} resources in one entry`, 1, () => {
        state.apply([nextEntry(state, changes, { writeId: "w", changeId: "c" })]);
    });
    print(
        `  the entry and its place in the state: ${
            ((usedHeap() - before) / 1e6).toFixed(1)
        } MB of heap beside the specs`,
    );
    const snapshot = state.snapshot();
    time("packing 200 resources of a snapshot", rounds, () => pack(snapshot.resources.slice(400, 600)));
    const parts = Array.from(
        { length: Math.ceil(snapshot.resources.length / 200) },
        (_unused, index) => pack(snapshot.resources.slice(index * 200, index * 200 + 200)).length,
    );
    print(`  whole snapshot packed: ${parts.reduce((sum, part) => sum + part, 0)} bytes in ${parts.length} parts`);
    time("loading the whole snapshot", 5, () => new RevisionState().load(snapshot));
    let turn = 0;
    const sizes: number[] = [];
    time("checking and applying one changed target", rounds, () => {
        const change = { ...changes[1]!, spec: { ...changes[1]!.spec, slots: 33 + turn++ } } as DesiredChange;
        validateChanges(state, [change]);
        const { kind, name, spec } = change;
        const entry = nextEntry(state, [{ kind, name, spec }], { writeId: `w${turn}`, changeId: `c${turn}` });
        sizes.push(pack([entry]).length);
        state.apply([entry]);
    });
    print(`  one entry packed: ${mean(sizes).toFixed(0)} bytes`);
}

function declare(): DesiredChange[] {
    const model = specSchemas.model.parse({ layers: 80, versions: ["v1"], current: "v1", replicas: 100 });
    const list: DesiredChange[] = [{ kind: "model", name: "m", spec: model }];
    for (let index = 0; index < targets; index++) {
        const place = { host: `10.${index >> 8}.${index & 255}.1`, port: 7000, dataCentre: `dc${index % centres}` };
        list.push({ kind: "target", name: `target-${index}`, spec: specSchemas.target.parse(place) });
    }
    for (let index = 0; index < organisations; index++) {
        const spec = specSchemas.organisation.parse({ priority: index % 10, share: 1 + index % 5 });
        list.push({ kind: "organisation", name: `organisation-${index}`, spec });
    }
    for (let index = 0; index < credentials; index++) {
        const tokenHash = index.toString(16).padStart(64, "0");
        const spec = specSchemas.credential.parse({
            tokenHash,
            role: "caller",
            organisation: `organisation-${index % organisations}`,
        });
        list.push({ kind: "credential", name: `credential-${index}`, spec });
    }
    return list;
}

function host(index: number): LiveHost {
    const dataCentre = `dc${index % centres}`;
    const place = { host: `10.${index >> 8}.${index & 255}.1`, port: 7000, dataCentre, region: `r${index % 5}` };
    return { process: `process-${index}`, role: index < 1800 ? "entry" : "agent", ...place, state: "live" };
}

function time(title: string, count: number, work: () => unknown): void {
    const times = Array.from({ length: count }, () => {
        const started = clock.now();
        work();
        return clock.now() - started;
    });
    print(`${title}: median ${quantile(times, 0.5).toFixed(2)} ms, max ${quantile(times, 1).toFixed(2)} ms`);
}

function usedHeap(): number {
    global.gc?.();
    return process.memoryUsage().heapUsed;
}

function print(line: string): void {
    process.stdout.write(line + "\n");
}
