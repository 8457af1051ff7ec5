import { MemoryObjectStore, MemoryTableStore, type ObjectStore, type TableStore } from "@waxwingspar/stores";
import {
    failure,
    ManualClock,
    type Outcome,
    platformCodes,
    type Random,
    requestCodes,
    seededRandom,
    sleep,
} from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { Result } from "true-myth";
import { decodeClaim, keyHashOf } from "../claimId.js";
import { type Claim, type ClaimRequest, type Runner } from "../Claims.js";
import { ForgottenClaims } from "../ForgottenClaims.js";
import { ClaimJournal } from "./ClaimJournal.js";

const owners = 3;
const targets = ["a", "b", "c"];
const storeTimeout = 300;
const day = 86_400_000;

/** One owner's connection to the store. It can be paused or cut, and can lose or delay calls. */
class Connection {
    losesBefore = 0;
    losesAfter = 0;
    delay = 0;
    resumeAt = 0;
    cut = false;

    constructor(private readonly clock: ManualClock, private readonly random: Random) {}

    async pass<T>(kind: "read" | "write", send: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
        const passed = this.deliver(kind, send);
        const timeout = sleep(this.clock, storeTimeout).then(() => this.held()).then(() => lost<T>());
        return Promise.race([passed, timeout]);
    }

    private async deliver<T>(kind: "read" | "write", send: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
        await this.held();
        if (this.delay > 0) {
            await sleep(this.clock, this.random.below(this.delay));
        }
        if (kind === "write" && this.losesBefore > 0) {
            this.losesBefore--;
            return lost();
        }
        const outcome = await send();
        if (kind === "write" && this.losesAfter > 0) {
            this.losesAfter--;
            return lost();
        }
        await sleep(this.clock, this.random.below(this.delay + 1));
        await this.held();
        return outcome;
    }

    private async held(): Promise<void> {
        while (this.cut || this.resumeAt > this.clock.now()) {
            await sleep(this.clock, this.cut ? day : this.resumeAt - this.clock.now());
        }
    }
}

function lost<T>(): Outcome<T> {
    return Result.err(failure(platformCodes.storeUnknown, "lost"));
}

function connectedTable(store: TableStore, connection: Connection): TableStore {
    return {
        get era() {
            return store.era;
        },
        get: key => connection.pass("read", () => store.get(key)),
        scan: (prefix, after, limit) => connection.pass("read", () => store.scan(prefix, after, limit)),
        commit: transaction => connection.pass("write", () => store.commit(transaction)),
        findCommit: writeId => connection.pass("read", () => store.findCommit(writeId)),
    };
}

function connectedObjects(store: ObjectStore, connection: Connection): ObjectStore {
    return {
        put: (name, data) => connection.pass("write", () => store.put(name, data)),
        get: name => connection.pass("read", () => store.get(name)),
        list: prefix => connection.pass("read", () => store.list(prefix)),
        delete: name => connection.pass("write", () => store.delete(name)),
    };
}

/** Simulated agents. Each incarnation runs a claim at most once and never runs one that it has refused. */
class Agents {
    readonly runs = new Map<string, number>();
    private readonly starts = new Map(targets.map(target => [target, 0]));
    private readonly memory = new Map<string, "ran" | "refused">();
    private readonly refused = new Set<string>();
    private readonly forgotten = new ForgottenClaims();

    runner(target: string): Runner {
        return { target, incarnation: String(this.starts.get(target)) };
    }

    restart(target: string): void {
        this.starts.set(target, (this.starts.get(target) ?? 0) + 1);
    }

    /** Offers a claimed request to its runner. */
    offer({ id, runner }: Claim, refuses: boolean): "ran" | "refused" | "gone" {
        const identity = decodeClaim(id);
        assert.ok(identity);
        assert.deepEqual(identity.runner, runner);
        if (runner.incarnation !== this.runner(runner.target).incarnation) {
            return "gone";
        }
        const known = this.memory.get(id);
        if (known === undefined && this.forgotten.mayInclude(id)) {
            return "gone";
        }
        if (known === undefined && !refuses) {
            this.runs.set(identity.keyHash, (this.runs.get(identity.keyHash) ?? 0) + 1);
        }
        const end = known ?? (refuses ? "refused" : "ran");
        this.memory.set(id, end);
        if (end === "refused") {
            this.refused.add(id);
        }
        return end;
    }

    /** Evicts all claims, as an agent does with old ones. */
    forget(): void {
        [...this.memory.keys()].forEach(id => this.forgotten.add(id));
        this.memory.clear();
    }

    hasRefused(id: string): boolean {
        return this.refused.has(id);
    }
}

const action = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            type: fc.constant("call" as const),
            key: fc.nat(3),
            owner: fc.nat(owners - 1),
            mover: fc.nat(owners - 1),
            target: fc.constantFrom(...targets),
            next: fc.constantFrom(...targets),
            refuses: fc.boolean(),
            dropped: fc.boolean(),
            think: fc.constantFrom(0, 20, 700),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({ type: fc.constant("advance" as const), time: fc.constantFrom(5, 30, 400, 2500) }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("fault" as const),
            owner: fc.nat(owners - 1),
            losesBefore: fc.nat(2),
            losesAfter: fc.nat(2),
            delay: fc.constantFrom(0, 30, 600),
            pause: fc.constantFrom(0, 0, 200, 3000),
        }),
    },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("crash" as const), owner: fc.nat(owners - 1) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("restart" as const), target: fc.constantFrom(...targets) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("forget" as const) }) },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("others" as const),
            owner: fc.nat(owners - 1),
            count: fc.integer({ min: 1, max: 8 }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ type: fc.constant("outage" as const), down: fc.boolean(), stale: fc.boolean() }),
    },
);

type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

/** Owners, agents and callers around one store. */
class Site {
    readonly clock = new ManualClock();
    readonly agents = new Agents();
    private readonly random: Random;
    private readonly table = new MemoryTableStore({ clock: this.clock });
    private readonly objects = new MemoryObjectStore({ clock: this.clock });
    private readonly connections: Connection[] = [];
    private readonly journals: ClaimJournal[] = [];
    private nextOther = 100;
    /** All granted claims, by key and id. */
    private readonly granted = new Map<string, Map<string, Claim>>();

    /** @param longWaits - Whether owners sometimes wait long in the middle of a batch or of archiving. */
    constructor(seed: number, private longWaits: boolean) {
        this.random = seededRandom(seed);
        for (let owner = 0; owner < owners; owner++) {
            this.start(owner);
        }
    }

    async perform(step: Action): Promise<void> {
        switch (step.type) {
            case "call":
                void this.call(step);
                return;
            case "advance":
                return this.clock.advanceAsync(step.time, 5);
            case "fault": {
                const { losesBefore, losesAfter, delay, pause } = step;
                Object.assign(this.connection(step.owner), {
                    losesBefore,
                    losesAfter,
                    delay,
                    resumeAt: this.clock.now() + pause,
                });
                return;
            }
            case "crash":
                this.connection(step.owner).cut = true;
                this.start(step.owner);
                return;
            case "restart":
                this.agents.restart(step.target);
                return;
            case "others":
                // Claims of other keys cause the earlier ones to be archived.
                for (let index = 0; index < step.count; index++) {
                    void this.journal(step.owner).acquire(request(this.nextOther++, this.agents.runner("a")));
                }
                return;
            case "forget":
                this.agents.forget();
                return;
            case "outage":
                this.table.faults.set({ down: step.down, stale: step.stale });
                this.objects.faults.set({ down: step.down });
                return;
        }
    }

    /** Ends all faults. After that, every owner must grant claims again. */
    async endFaults(): Promise<void> {
        this.longWaits = false;
        this.table.faults.set({ down: false, stale: false });
        this.objects.faults.set({ down: false });
        this.connections.forEach(connection => {
            Object.assign(connection, { losesBefore: 0, losesAfter: 0, delay: 0 });
        });
        await this.clock.advanceAsync(8000, 20);
        for (let key = 0; key <= 3; key++) {
            const ids = new Set<string>();
            for (let owner = 0; owner < owners; owner++) {
                ids.add(await this.claimIdAt(key, owner));
            }
            assert.ok(ids.size >= 1);
        }
    }

    private async claimIdAt(key: number, owner: number): Promise<string> {
        const call = this.journal(owner).acquire(request(key, this.agents.runner("a")));
        let outcome: Outcome<Claim> | undefined;
        void call.then(ended => outcome = ended);
        await this.clock.advanceAsync(2500, 20);
        assert.ok(outcome?.isOk, `owner ${owner} does not answer after all faults have ended`);
        this.check(key, outcome.value);
        return outcome.value.id;
    }

    private async call(step: Extract<Action, { type: "call"; }>): Promise<void> {
        const { key, owner, mover, target, next, refuses, dropped, think } = step;
        const outcome = await this.journal(owner).acquire(request(key, this.agents.runner(target)));
        if (outcome.isErr) {
            assert.equal(outcome.error.code, requestCodes.claimUnavailable);
            return;
        }
        this.check(key, outcome.value);
        await sleep(this.clock, think);
        if (dropped || this.agents.offer(outcome.value, refuses) !== "refused") {
            return;
        }
        const moved = await this.journal(mover).move(outcome.value, request(key, this.agents.runner(next)));
        if (moved.isOk) {
            this.check(key, moved.value);
            await sleep(this.clock, think);
            this.agents.offer(moved.value, false);
        }
    }

    /** At most one of the claims granted for a key may not have been refused by its runner. */
    private check(key: number, claim: Claim): void {
        const claims = this.granted.get(String(key)) ?? new Map<string, Claim>();
        this.granted.set(String(key), claims.set(claim.id, claim));
        const open = [...claims.keys()].filter(id => !this.agents.hasRefused(id));
        assert.ok(open.length <= 1, `granted to several runners: ${open.join(" and ")}`);
    }

    private start(owner: number): void {
        const connection = new Connection(this.clock, this.random);
        this.connections[owner] = connection;
        this.journals[owner] = new ClaimJournal({
            partition: 0,
            table: connectedTable(this.table, connection),
            objects: connectedObjects(this.objects, connection),
            clock: this.clock,
            random: this.random,
            pace: () => this.random.below(this.longWaits && this.random.below(10) === 0 ? 900 : 20),
            archiveAfter: 3,
            pageSize: 2,
            maxBatch: 2,
        });
    }

    private connection(owner: number): Connection {
        const connection = this.connections[owner];
        assert.ok(connection);
        return connection;
    }

    private journal(owner: number): ClaimJournal {
        const journal = this.journals[owner];
        assert.ok(journal);
        return journal;
    }
}

function request(key: number, runner: Runner): ClaimRequest {
    return { route: "r", organisation: "o", key: String(key), digest: "d", runner, retention: day };
}

async function run(actions: readonly Action[], seed: number, longWaits: boolean): Promise<void> {
    const errors: unknown[] = [];
    const note = (error: unknown) => errors.push(error);
    process.on("unhandledRejection", note);
    const site = new Site(seed, longWaits);
    try {
        for (const step of actions) {
            await site.perform(step);
        }
        await site.endFaults();
    }
    finally {
        process.off("unhandledRejection", note);
    }
    assert.deepEqual(errors, []);
    for (let key = 0; key <= 3; key++) {
        const keyHash = keyHashOf(request(key, site.agents.runner("a")));
        assert.ok((site.agents.runs.get(keyHash) ?? 0) <= 1, `key ${key} ran more than once`);
    }
}

/** A run in which an owner that is delayed while archiving could undo the archive of another owner. */
const undoneArchive: Action[] = [
    callOf(0, 0),
    { type: "others", owner: 1, count: 2 },
    { type: "fault", owner: 0, losesBefore: 0, losesAfter: 0, delay: 0, pause: 3000 },
    callOf(0, 2),
    { type: "others", owner: 1, count: 5 },
    { type: "advance", time: 400 },
    callOf(0, 0),
    callOf(1, 1),
    callOf(0, 0),
    { type: "advance", time: 5 },
    { type: "advance", time: 5 },
];

function callOf(key: number, owner: number): Action {
    const targets = { target: "a", next: "a" };
    return { type: "call", key, owner, mover: 0, ...targets, refuses: false, dropped: false, think: 0 };
}

test("a delayed owner does not undo the archive of another owner", () => run(undoneArchive, 1907839100, false));

test("no interleaving grants a key to two runners or runs it twice", async t => {
    const seed = Number(process.env["FC_SEED"] ?? 20261202);
    const numRuns = Number(process.env["FC_RUNS"] ?? 150);
    t.diagnostic(`seed ${seed}, ${numRuns} runs`);
    const property = fc.asyncProperty(fc.array(action, { minLength: 5, maxLength: 40 }), fc.nat(), fc.boolean(), run);
    await fc.assert(property, { seed, numRuns, includeErrorInReport: true });
});
