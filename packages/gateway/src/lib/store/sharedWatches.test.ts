import assert from "node:assert/strict";
import { test } from "node:test";
import { ageOf, type Moment } from "../Moment.js";
import { watchRole } from "../peers/watchRole.js";
import { type SimulatedGateway, SimulatedGroup } from "../testing/SimulatedGroup.js";
import { WatchedTable } from "../testing/WatchedTable.js";
import { type Store, type StoreFailure } from "./Store.js";
import { TableWatch, type WatchRole } from "./TableWatch.js";
import { relianceWithin, watchWait } from "./watchWait.js";

/** Milliseconds in which what the store has taken must be known: the least promise under which gateways rely on each other. */
const promise = 3_000;
const contactTime = 4_000;

/** The store as one gateway reaches it. */
interface Path {
    calls: number;
    /** The version after which it last asked for changes. */
    after: number;
    isTurnedAway: boolean;
}

interface Follower {
    readonly gateway: SimulatedGateway;
    readonly path: Path;
    /** Rows that it knows. */
    readonly rows: Map<string, unknown>;
    confirmedAt: Moment | undefined;
    graceEnd: number;
}

/** Gateways that follow a table, most of them by what the relays say. */
class FollowingGroup {
    readonly group: SimulatedGroup;
    readonly table: WatchedTable;
    readonly followers: Follower[];

    constructor(dataCentres = 2, gatewaysEach = 8, readonly role?: (gateway: SimulatedGateway) => WatchRole) {
        this.group = new SimulatedGroup({ dataCentres, gatewaysEach, startSpread: 200 });
        this.table = new WatchedTable(this.group.clock);
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
        const path = { calls: 0, after: 0, isTurnedAway: false };
        const follower: Follower = { gateway, path, rows: new Map(), confirmedAt: undefined, graceEnd: -Infinity };
        gateway.watch = new TableWatch({
            clock: this.group.clock,
            store: storeOver(this.table, path),
            table: "t",
            wait: watchWait(contactTime),
            reliance: relianceWithin(promise),
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
    return watchRole({ isRelay: exchange.isRelay, hasFollowers: exchange.hasFollowers, hasDuty: false });
}

function storeOver(table: WatchedTable, path: Path): Store {
    const refused: StoreFailure = { kind: "unavailable", reason: "status 503" };
    return {
        read: () => {
            path.calls++;
            return path.isTurnedAway ? Promise.resolve(refused) : table.read();
        },
        watch: (name, after, wait) => {
            path.calls++;
            path.after = after;
            return path.isTurnedAway ? Promise.resolve(refused) : table.watch(name, after, wait);
        },
        write: change => table.write(change),
    };
}

async function settled(dataCentres?: number, gatewaysEach?: number): Promise<FollowingGroup> {
    const play = new FollowingGroup(dataCentres, gatewaysEach);
    await play.run(6_000);
    return play;
}

function ageAt({ confirmedAt }: Follower, { group }: FollowingGroup): number {
    return confirmedAt === undefined ? Infinity : ageOf(confirmedAt, group.clock);
}

test("32 gateways ask the store less than half as often as when each follows it by itself", async () => {
    const shared = await settled(2, 16);
    const alone = new FollowingGroup(2, 16, () => "alone");
    await alone.run(6_000);
    const before = [shared.calls, alone.calls] as const;
    await Promise.all([shared.run(20_000), alone.run(20_000)]);
    const [calls, callsAlone] = [shared.calls - before[0], alone.calls - before[1]];
    assert.ok(calls < callsAlone / 2, `${calls} of ${callsAlone}`);
});

test("the calls do not grow with the gateways of a data centre", async () => {
    const [few, many] = [await settled(2, 4), await settled(2, 20)];
    const before = [few.calls, many.calls] as const;
    await Promise.all([few.run(10_000), many.run(10_000)]);
    assert.ok(Math.abs((many.calls - before[1]) - (few.calls - before[0])) <= 4);
});

test("a change is known to all within 0.6 s", async () => {
    const play = await settled(3, 8);
    for (let value = 2; value < 12; value++) {
        await play.run(310);
        play.table.put("a", value);
        const time = await play.timeUntilKnown("a", value, 5_000);
        assert.ok(time <= 600, `${time} ms`);
    }
});

test("while nothing changes nobody's knowledge gets older than the promise allows", async () => {
    const play = await settled();
    for (let time = 0; time < 10_000; time += 100) {
        await play.run(100);
        const oldest = Math.max(...play.followers.map(follower => ageAt(follower, play)));
        assert.ok(oldest < promise, `${oldest}`);
    }
});

test("who relies on others asks for changes after what they have seen, so that the store need not remember for long", async () => {
    const play = await settled();
    play.table.changeOthers(1_000);
    await play.run(3_000);
    play.table.put("a", 2);
    await play.run(1_000);
    const oldest = Math.min(...play.followers.map(({ path }) => path.after));
    assert.ok(oldest > 1_000, `${oldest}`);
});

for (const lost of ["one relay", "both relays", "all relays"]) {
    test(`${lost} lost: a change is known to all others within the promise`, async () => {
        for (let delay = 0; delay <= 1_500; delay += 500) {
            const play = await settled();
            const indexes = { "one relay": [0], "both relays": [0, 1], "all relays": [0, 1, 8, 9] }[lost] ?? [];
            indexes.forEach(index => {
                const gateway = play.group.gateways[index];
                assert.ok(gateway !== undefined);
                gateway.isDown = true;
            });
            await play.run(delay);
            play.table.put("a", 2);
            const time = await play.timeUntilKnown("a", 2, 5_000);
            assert.ok(time < promise, `${time} ms, ${delay} ms after the loss`);
        }
    });
}

test("the store turns all relays away: a change is known to all others within the promise", async () => {
    for (let delay = 0; delay <= 3_000; delay += 1_000) {
        const play = await settled();
        play.followers.forEach(({ path }, index) => {
            path.isTurnedAway = index % 8 < 2;
        });
        await play.run(delay);
        play.table.put("a", 2);
        const others = play.followers.filter(({ path }) => !path.isTurnedAway);
        for (let time = 0; others.some(({ rows }) => rows.get("a") !== 2); time += 20) {
            assert.ok(time < promise, `${time} ms`);
            await play.run(20);
        }
    }
});

test("connections fall silent: a change is known to all within the time in contact", async () => {
    for (let delay = 0; delay <= 2_000; delay += 500) {
        const play = await settled();
        await play.run(delay);
        play.table.silenceConnections();
        play.table.put("a", 2);
        const time = await play.timeUntilKnown("a", 2, 8_000);
        assert.ok(time < contactTime, `${time} ms`);
    }
});

test("rows that vanished in an outage may come back, at gateways that rely on others as well", async () => {
    const play = await settled();
    play.table.setAway(true);
    await play.run(4_000);
    play.table.put("a", undefined);
    play.table.setAway(false);
    await play.run(1_000);
    for (const { rows, graceEnd } of play.followers) {
        assert.ok(rows.has("a") && rows.get("a") === undefined);
        assert.ok(graceEnd > play.group.clock.now());
    }
});

test("what a gateway believes to be true was true at the moment that it names", async () => {
    const play = await settled(2, 6);
    let value = 1;
    const writtenAt = [play.group.clock.now()];
    for (let round = 0; round < 60; round++) {
        await play.run(90 + (round * 37) % 200);
        if (round % 3 === 0) {
            play.table.put("a", ++value);
            writtenAt[value] = play.group.clock.now();
        }
        for (const { rows, confirmedAt } of play.followers) {
            const next = writtenAt[Number(rows.get("a")) + 1] ?? Infinity;
            assert.ok((confirmedAt?.now ?? 0) <= next, "a value counted as confirmed after it was replaced");
        }
    }
});
