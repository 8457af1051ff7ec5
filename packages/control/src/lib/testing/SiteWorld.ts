import { type ModelSpec, type PlacementSpec, type Resource, resource } from "@waxwingspar/config";
import { type HistoryEvent, type HistoryLine } from "@waxwingspar/history";
import {
    failure,
    ManualClock,
    type Outcome,
    platformCodes,
    type Random,
    seededRandom,
    transportCodes,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type DutyMember, DutyRunner } from "../leases/DutyRunner.js";
import { ordersDuty, readFence } from "../leases/leaseRow.js";
import { type TargetPort } from "../orders/TargetPort.js";
import { type PlanOptions } from "../rollout/planSite.js";
import { type RowCondition, SiteDuty } from "../rollout/SiteDuty.js";
import { type PlacementChange } from "../rollout/SiteView.js";
import { LaggedConfiguration, type PastRevision } from "./LaggedConfiguration.js";
import { pausableClock, pausableStore, type WhenResumed } from "./pausable.js";
import { ScriptedStore } from "./ScriptedStore.js";
import { TestTarget } from "./TestTarget.js";

/** @internal */
export interface WorldOptions {
    readonly targets: number;
    readonly memory: number;
    readonly model: Partial<ModelSpec> & Pick<ModelSpec, "layers" | "replicas">;
    readonly seed?: number;
    readonly loadRate?: number;
    readonly plan?: PlanOptions;
    /** True if writes of placements get no random faults. */
    readonly faultless?: boolean;
}

/** A fault of a message. A late message arrives long after its sender has stopped waiting. @internal */
export type MessageFault = "lostBefore" | "lostAfter" | "late";

/** A process that may hold the duty. While it is paused it runs nothing and receives nothing. */
interface Holder {
    readonly member: DutyMember;
    readonly runner: DutyRunner;
    readonly duty: SiteDuty;
    paused: boolean;
    lag: number;
}

/** @internal */
export const dataCentre = "a";
/** Upper bound, in milliseconds, of the configuration lag of a process. */
const lagLimit = 3000;

/**
 * Simulates one data centre on virtual time: engines, agents, a store, operators, and three processes that may hold the
 * duty.
 *
 * @internal
 */
export class SiteWorld {
    readonly clock = new ManualClock();
    readonly store = new ScriptedStore();
    readonly targets = new Map<string, TestTarget>();
    readonly holders: Holder[] = [];
    readonly lines: HistoryLine[] = [];
    readonly violations: string[] = [];
    /** Faults of the next messages to targets, in order. */
    readonly messageFaults: MessageFault[] = [];
    /** Faults of the next orders, in order. */
    readonly orderFaults: MessageFault[] = [];
    /** Faults of the next placement changes, in order. Further changes get random faults. */
    readonly changeFaults: MessageFault[] = [];
    readonly random: Random;
    model: ModelSpec;
    /** Names of the adapters, which exist for both versions. */
    adapters: string[] = [];
    /** True while every placement change is refused. */
    refusesWrites = false;
    revision = 1;
    /** The lowest capacity since all replicas were ready for the first time. */
    lowestCapacity = Infinity;
    private readonly placements = new Map<string, Resource<"placement">>();
    private readonly history: PastRevision[] = [];
    private resumes: (() => void)[] = [];

    constructor(private readonly options: WorldOptions) {
        this.random = seededRandom(options.seed ?? 1);
        this.model = {
            versions: ["v1", "v2"],
            current: "v1",
            layerBytes: 1e9,
            activationBytes: 16_384,
            firstTokenBound: 540,
            tokenBound: 72,
            contextTokens: 8192,
            ...options.model,
        };
        for (let index = 0; index < options.targets; index++) {
            this.addTarget(`t${String(index).padStart(2, "0")}`);
        }
        this.publish();
        for (const process of ["p", "q", "r"]) {
            this.holders.push(this.createHolder({ process, dataCentre, leaving: false }));
        }
        this.holders.forEach(({ runner }) => runner.start());
    }

    get ready(): Resource<"placement">[] {
        return [...this.placements.values()].filter(({ spec }) => spec.ready);
    }

    get all(): Resource<"placement">[] {
        return [...this.placements.values()];
    }

    /** The first process that considers itself the holder of the duty. */
    get holder(): Holder | undefined {
        return this.holders.find(({ runner }) => runner.held().length > 0);
    }

    /** Changes the model as an operator would. */
    setModel(change: Partial<ModelSpec>): void {
        this.model = { ...this.model, ...change };
        this.revision++;
        this.publish();
    }

    setAdapters(names: string[]): void {
        this.adapters = names;
        this.revision++;
        this.publish();
    }

    /** Checks whether the targets of every ready pipeline hold its layers. */
    async isWholeSite(): Promise<boolean> {
        const whole = await Promise.all(this.ready.map(({ spec }) => this.isWhole(spec)));
        return whole.every(found => found);
    }

    pause(holder: Holder): void {
        holder.paused = true;
    }

    resume(holder: Holder): void {
        holder.paused = false;
        this.resumes.splice(0).forEach(resume => resume());
    }

    async run(duration: number): Promise<void> {
        for (let left = duration; left > 0; left -= 500) {
            await this.clock.advanceAsync(500, 250);
            await this.startStreams();
            this.noteCapacity();
        }
    }

    private noteCapacity(): void {
        const capacity = this.capacity();
        if (capacity >= this.model.replicas || this.lowestCapacity < Infinity) {
            this.lowestCapacity = Math.min(this.lowestCapacity, capacity);
        }
    }

    /** Counts the pipelines that can serve at the same time. A lost target counts until its loss can be detected. */
    capacity(): number {
        const used = new Set<string>();
        return this.ready.filter(({ spec }) => {
            const known = spec.stages.every(({ target }) => {
                const found = this.targets.get(target)!;
                return found.alive || this.clock.now() - found.changedAt < lagLimit + 6000;
            });
            const free = spec.stages.every(({ target }) => !used.has(target));
            if (known && free) {
                spec.stages.forEach(({ target }) => used.add(target));
            }
            return known && free;
        }).length;
    }

    private addTarget(name: string): void {
        const { memory, loadRate = 1e9 } = this.options;
        const record = (event: HistoryEvent, incarnation: string) => this.record(name, incarnation, event);
        const fence = () => readFence(this.store, ordersDuty(dataCentre));
        this.targets.set(name, new TestTarget({ name, clock: this.clock, memory, loadRate, readFence: fence, record }));
    }

    private record(process: string, incarnation: string, body: HistoryEvent): void {
        const sequence = this.lines.filter(line => line.incarnation === incarnation).length;
        this.lines.push({ process, incarnation, sequence, time: this.clock.now(), body });
    }

    private publish(): void {
        const { memory } = this.options;
        const targets = [...this.targets.keys()].map(name =>
            resource("target", name, {
                host: "127.0.0.1",
                port: 1,
                dataCentre,
                region: "local",
                accelerator: { kind: "generic", memory, speed: 1 },
                link: { bandwidth: 1e9, latency: 0.1 },
                holds: [],
                slots: 8,
                checksFence: false,
            })
        );
        const adapters = this.adapters.map(name =>
            resource("adapter", name, { model: "m", versions: ["v1", "v2"], bytes: 1 })
        );
        const model = resource("model", "m", this.model);
        const resources: Resource[] = [model, ...adapters, ...targets, ...this.placements.values()];
        this.history.push({ at: this.clock.now(), revision: this.revision, resources });
    }

    private createHolder(member: DutyMember): Holder {
        const state = { paused: false, lag: this.random.below(lagLimit) };
        const whenResumed = async <T>(outcome: Promise<T>): Promise<T> => {
            const answer = await outcome;
            while (state.paused) {
                await new Promise<void>(resolve => this.resumes.push(resolve));
            }
            return answer;
        };
        const { clock, random } = this;
        const holderStore = pausableStore(this.store, whenResumed);
        const holderClock = pausableClock(clock, whenResumed);
        const duty = new SiteDuty({
            dataCentre,
            clock: holderClock,
            store: holderStore,
            configuration: new LaggedConfiguration(clock, this.history, () => state.lag),
            targets: this.port(whenResumed),
            incarnationOf: target => this.membership(target),
            readRevision: () => whenResumed(Promise.resolve(this.unlessDown(this.revision))),
            writePlacement: (change, guard) => whenResumed(Promise.resolve(this.receiveChange(change, guard))),
            record: event => this.record(member.process, member.process, event),
            plan: this.options.plan,
        });
        const runner = new DutyRunner({
            store: holderStore,
            clock: holderClock,
            random,
            process: member.process,
            incarnation: "1",
            duties: [duty],
            members: () => this.holders.map(holder => holder.member),
            onFault: (_, error) => this.violations.push(String(error instanceof Error ? error.stack : error)),
        });
        return Object.assign(state, { member, runner, duty });
    }

    private port(whenResumed: WhenResumed): TargetPort {
        const send = async <T>(deliver: () => Promise<Outcome<T>>, given?: MessageFault): Promise<Outcome<T>> => {
            const fault = given ?? this.messageFaults.shift();
            const lost = Result.err(failure(transportCodes.connectionLost, "lost"));
            if (fault === "lostBefore") {
                return lost;
            }
            if (fault === "late") {
                this.clock.schedule(() => void deliver(), 1000 + this.random.below(40_000));
                return lost;
            }
            const outcome = await whenResumed(deliver());
            return fault === "lostAfter" ? lost : outcome;
        };
        return {
            observe: (target, fence) => send(() => this.targets.get(target)!.observe(fence)),
            order: (target, incarnation, order) =>
                send(() => this.targets.get(target)!.order(incarnation, order), this.orderFaults.shift()),
        };
    }

    /** Returns the incarnation that membership reports. It learns of a loss or a return after one second. */
    private membership(target: string): string | undefined {
        const found = this.targets.get(target)!;
        const isUnnoticed = this.clock.now() - found.changedAt < 1000;
        return found.alive !== isUnnoticed ? found.incarnation : undefined;
    }

    private unlessDown<T>(value: T): Outcome<T> {
        return this.store.up ? Result.ok(value) : Result.err(failure(platformCodes.storeUnavailable, "down"));
    }

    /** Handles a placement change. Faults make it fail, take effect without a response, or take effect late. */
    private receiveChange(change: PlacementChange, guard: RowCondition): Outcome<number> {
        if (!this.store.up || this.refusesWrites) {
            return Result.err(failure(platformCodes.storeUnavailable, "down"));
        }
        const fault = this.changeFaults.shift() ?? this.randomFault();
        if (fault === "late") {
            this.clock.schedule(() => void this.writePlacement(change, guard), 30_000);
        }
        const isLost = fault === "late" || fault === "lostBefore";
        const written = isLost ? undefined : this.writePlacement(change, guard);
        if (fault === "lostAfter" || written === undefined) {
            return Result.err(failure(platformCodes.storeUnknown, "lost"));
        }
        return written;
    }

    private randomFault(): MessageFault | undefined {
        const faults: readonly MessageFault[] = ["late", "lostBefore", "lostAfter"];
        return this.options.faultless ? undefined : faults[this.random.below(60)];
    }

    private writePlacement({ name, spec, resourceVersion }: PlacementChange, guard: RowCondition): Outcome<number> {
        const old = this.placements.get(name);
        const isGuarded = this.store.row(guard.key).version === guard.version;
        if (!isGuarded || (old?.resourceVersion ?? 0) !== resourceVersion) {
            return Result.err(failure(platformCodes.conditionFailed, "not written"));
        }
        const before = this.capacity();
        this.revision++;
        if (spec === undefined) {
            this.placements.delete(name);
        }
        else {
            this.placements.set(name, resource("placement", name, spec, this.revision));
        }
        this.publish();
        this.checkChange(old?.spec, spec, before);
        return Result.ok(this.revision);
    }

    private checkChange(old: PlacementSpec | undefined, spec: PlacementSpec | undefined, before: number): void {
        const floor = Math.ceil((this.options.plan?.capacityShare ?? 0.9) * this.model.replicas);
        const after = this.capacity();
        if (old?.ready && !spec?.ready && after < Math.min(floor, before)) {
            void this.isWhole(old).then(wasWhole => {
                if (wasWhole) {
                    this.violations.push(`capacity ${after} below ${floor} at ${this.clock.now()}`);
                }
            });
        }
        if (spec?.ready && !old?.ready) {
            void Promise.all(spec.stages.map(stage => this.checkLoaded(spec, stage)));
        }
    }

    /** Checks whether the targets of a pipeline have been up for more than 10 s and hold its layers. */
    private async isWhole(spec: PlacementSpec): Promise<boolean> {
        const checks = await Promise.all(spec.stages.map(async stage => {
            const target = this.targets.get(stage.target)!;
            const isSettled = target.alive && this.clock.now() - target.changedAt > 10_000;
            return isSettled && await target.holds(spec.version, stage);
        }));
        return checks.every(whole => whole);
    }

    private async checkLoaded(spec: PlacementSpec, stage: PlacementSpec["stages"][number]): Promise<void> {
        const target = this.targets.get(stage.target)!;
        const isSettled = target.alive && this.clock.now() - target.changedAt > 10_000;
        const holds = await target.holds(spec.version, stage);
        if (isSettled && !holds) {
            this.violations.push(`${stage.target} does not hold ${spec.version} at ${this.clock.now()}`);
        }
    }

    /** Starts requests on a ready pipeline, as entries do whose configuration lags by up to the lag limit. */
    private async startStreams(): Promise<void> {
        const at = this.clock.now() - this.random.below(lagLimit);
        const known = this.history.findLast(entry => entry.at <= at) ?? this.history[0]!;
        const ready = known.resources.filter((found): found is Resource<"placement"> => (
            found.kind === "placement" && (found as Resource<"placement">).spec.ready
        ));
        const spec = ready[this.random.below(Math.max(1, ready.length))]?.spec;
        const duration = 2000 + this.random.below(15_000);
        for (const stage of spec?.stages ?? []) {
            const target = this.targets.get(stage.target)!;
            if (target.alive && await target.holds(spec!.version, stage)) {
                target.startStream("m", spec!.version, duration);
            }
        }
    }
}
