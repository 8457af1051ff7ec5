import assert from "node:assert/strict";
import { test } from "node:test";
import { ageOf, type Moment } from "../Moment.js";
import { chooseWatchRole } from "../peers/chooseWatchRole.js";
import { type SimulatedGateway, SimulatedGroup } from "../testing/SimulatedGroup.js";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { type Store, type StoreFailure } from "./Store.js";
import { TableWatch } from "./TableWatch.js";
import { type WatchRole } from "./TableWatchOptions.js";
import { sharedWatchLimits, watchWait } from "./watchWait.js";

/** Milliseconds within which gateways must know of a change: the smallest value at which they share watches. */
const maxStaleness = 3_000;
const contactTime = 4_000;

/** The calls of one gateway to the store. */
interface StorePath {
    calls: number;
    /** The version after which the gateway last requested changes. */
    after: number;
    isRefused: boolean;
}

interface Follower {
    readonly gateway: SimulatedGateway;
    readonly path: StorePath;
    /** The rows known to the gateway. */
    readonly rows: Map<string, unknown>;
    confirmedAt: Moment | undefined;
    graceEnd: number;
}

/** Gateways that follow a table, most of them through the reports of relays. */
class FollowingGroup {
    readonly group: SimulatedGroup;
    readonly table: SimulatedStore;
    readonly followers: Follower[];

    constructor(dataCentres = 2, gatewaysEach = 8, readonly role?: (gateway: SimulatedGateway) => WatchRole) {
        this.group = new SimulatedGroup({ dataCentres, gatewaysEach, startSpread: 200 });
        this.table = new SimulatedStore(this.group.clock);
        this.table.put("a", 1);
        this.followers = this.group.gateways.map(gateway => this.follow(gateway));
    }

    get living(): Follower[] {
        return this.followers.filter(({ gateway }) => !gateway.isDown);
    }

    get calls(): number {
        return this.followers.reduce((sum, { path }) => sum + path.calls, 0);
    }

    run(duration: number): Promise<void> {
        return this.group.runAsync(duration);
    }

    /** Milliseconds until all living gateways know a row's value. */
    async timeUntilKnown(key: string, value: unknown, limit: number): Promise<number> {
        const step = 20;
        for (let time = 0; time <= limit; time += step) {
            if (this.living.every(({ rows }) => rows.get(key) === value)) {
                return time;
            }
            await this.run(step);
        }
        return Infinity;
    }

    private follow(gateway: SimulatedGateway): Follower {
        const path = { calls: 0, after: 0, isRefused: false };
        const follower: Follower = { gateway, path, rows: new Map(), confirmedAt: undefined, graceEnd: -Infinity };
        gateway.watch = new TableWatch({
            clock: this.group.clock,
            store: storeOver(this.table, path),
            table: "t",
            wait: watchWait(contactTime),
            sharedWatch: sharedWatchLimits(maxStaleness),
            role: () => this.role?.(gateway) ?? roleOf(gateway),
            onSnapshot: rows => {
                follower.rows.clear();
                rows.forEach(({ key, value }) => follower.rows.set(key, value));
            },
            onChanges: (changes, graceEnd) => {
                follower.graceEnd = graceEnd;
                changes.forEach(({ key, row }) => follower.rows.set(key, row?.value));
            },
            onConfirmed: after => {
                follower.confirmedAt = after;
            },
        });
        void gateway.watch.run();
        return follower;
    }
}

function roleOf({ exchange }: SimulatedGateway): WatchRole {
    return chooseWatchRole({ isRelay: exchange.isRelay, hasFollowers: exchange.hasFollowers, hasDuty: false });
}

function storeOver(table: SimulatedStore, path: StorePath): Store {
    const refused: StoreFailure = { kind: "unavailable", reason: "status 503" };
    return {
        read: () => {
            path.calls++;
            return path.isRefused ? Promise.resolve(refused) : table.read();
        },
        watch: (name, after, wait) => {
            path.calls++;
            path.after = after;
            return path.isRefused ? Promise.resolve(refused) : table.watch(name, after, wait);
        },
        write: change => table.write(change),
    };
}

async function createSettledGroup(dataCentres?: number, gatewaysEach?: number): Promise<FollowingGroup> {
    const simulation = new FollowingGroup(dataCentres, gatewaysEach);
    await simulation.run(6_000);
    return simulation;
}

function ageAt({ confirmedAt }: Follower, { group }: FollowingGroup): number {
    return confirmedAt === undefined ? Infinity : ageOf(confirmedAt, group.clock);
}

test("32 gateways call the store less than half as often as when each polls it by itself", async () => {
    const shared = await createSettledGroup(2, 16);
    const alone = new FollowingGroup(2, 16, () => "alone");
    await alone.run(6_000);
    const before = [shared.calls, alone.calls] as const;
    await Promise.all([shared.run(20_000), alone.run(20_000)]);
    const [calls, callsAlone] = [shared.calls - before[0], alone.calls - before[1]];
    assert.ok(calls < callsAlone / 2, `${calls} of ${callsAlone}`);
});

test("the number of calls does not grow with the number of gateways in a data centre", async () => {
    const [few, many] = [await createSettledGroup(2, 4), await createSettledGroup(2, 20)];
    const before = [few.calls, many.calls] as const;
    await Promise.all([few.run(10_000), many.run(10_000)]);
    assert.ok(Math.abs((many.calls - before[1]) - (few.calls - before[0])) <= 4);
});

test("all gateways know of a change within 0.6 s", async () => {
    const simulation = await createSettledGroup(3, 8);
    for (let value = 2; value < 12; value++) {
        await simulation.run(310);
        simulation.table.put("a", value);
        const time = await simulation.timeUntilKnown("a", value, 5_000);
        assert.ok(time <= 600, `${time} ms`);
    }
});

test("while nothing changes, the last confirmation at every gateway is younger than the maximum staleness", async () => {
    const simulation = await createSettledGroup();
    for (let time = 0; time < 10_000; time += 100) {
        await simulation.run(100);
        const oldest = Math.max(...simulation.followers.map(follower => ageAt(follower, simulation)));
        assert.ok(oldest < maxStaleness, `${oldest}`);
    }
});

test("a follower requests changes after the versions its leader has seen, so that the store's history may be short", async () => {
    const simulation = await createSettledGroup();
    simulation.table.changeOtherTables(1_000);
    await simulation.run(3_000);
    simulation.table.put("a", 2);
    await simulation.run(1_000);
    const oldest = Math.min(...simulation.followers.map(({ path }) => path.after));
    assert.ok(oldest > 1_000, `${oldest}`);
});

for (const lost of ["one relay", "both relays", "all relays"]) {
    test(`${lost} lost: all others know of a change within the maximum staleness`, async () => {
        for (let delay = 0; delay <= 1_500; delay += 500) {
            const simulation = await createSettledGroup();
            const indexes = { "one relay": [0], "both relays": [0, 1], "all relays": [0, 1, 8, 9] }[lost] ?? [];
            indexes.forEach(index => {
                const gateway = simulation.group.gateways[index];
                assert.ok(gateway !== undefined);
                gateway.isDown = true;
            });
            await simulation.run(delay);
            simulation.table.put("a", 2);
            const time = await simulation.timeUntilKnown("a", 2, 5_000);
            assert.ok(time < maxStaleness, `${time} ms, ${delay} ms after the loss`);
        }
    });
}

test("the store refuses all relays: all others know of a change within the maximum staleness", async () => {
    for (let delay = 0; delay <= 3_000; delay += 1_000) {
        const simulation = await createSettledGroup();
        simulation.followers.forEach(({ path }, index) => {
            path.isRefused = index % 8 < 2;
        });
        await simulation.run(delay);
        simulation.table.put("a", 2);
        const others = simulation.followers.filter(({ path }) => !path.isRefused);
        for (let time = 0; others.some(({ rows }) => rows.get("a") !== 2); time += 20) {
            assert.ok(time < maxStaleness, `${time} ms`);
            await simulation.run(20);
        }
    }
});

test("connections stop delivering replies: all gateways know of a change within the contact time", async () => {
    for (let delay = 0; delay <= 2_000; delay += 500) {
        const simulation = await createSettledGroup();
        await simulation.run(delay);
        simulation.table.silenceConnections();
        simulation.table.put("a", 2);
        const time = await simulation.timeUntilKnown("a", 2, 8_000);
        assert.ok(time < contactTime, `${time} ms`);
    }
});

test("rows that were removed in an outage may be written again, at followers as well", async () => {
    const simulation = await createSettledGroup();
    simulation.table.setDown(true);
    await simulation.run(4_000);
    simulation.table.put("a", undefined);
    simulation.table.setDown(false);
    await simulation.run(1_000);
    for (const { rows, graceEnd } of simulation.followers) {
        assert.ok(rows.has("a") && rows.get("a") === undefined);
        assert.ok(graceEnd > simulation.group.clock.now());
    }
});

test("a row that a gateway holds was current at the moment to which the gateway counts it as confirmed", async () => {
    const simulation = await createSettledGroup(2, 6);
    let value = 1;
    const writtenAt = [simulation.group.clock.now()];
    for (let round = 0; round < 60; round++) {
        await simulation.run(90 + (round * 37) % 200);
        if (round % 3 === 0) {
            simulation.table.put("a", ++value);
            writtenAt[value] = simulation.group.clock.now();
        }
        for (const { rows, confirmedAt } of simulation.followers) {
            const next = writtenAt[Number(rows.get("a")) + 1] ?? Infinity;
            assert.ok((confirmedAt?.now ?? 0) <= next, "a value counted as confirmed after it was replaced");
        }
    }
});
