import { IndexedHeap } from "../support/IndexedHeap.js";
import { type OrganisationAccount } from "./OrganisationAccounts.js";
import { type WorkItem } from "./WorkQueue.js";

/**
 * A queued item.
 *
 * @internal
 */
export interface WaitingItem {
    readonly item: WorkItem;
    readonly account: OrganisationAccount;
    /** Clock time in milliseconds after which the item can no longer meet its bound and is refused. */
    readonly expires: number;
    /** True when `expires` is the caller's deadline, not the latest start that meets the first-token bound. */
    readonly endsAtDeadline: boolean;
}

/** The queued items of one organisation at one priority, ordered by expiry. */
interface Flow {
    readonly key: string;
    readonly account: OrganisationAccount;
    /** The virtual start time of the flow's next item. */
    tag: number;
    /** The weight added to the level's sum; the organisation's weight may change while the flow is backlogged. */
    countedWeight: number;
    readonly items: IndexedHeap<WaitingItem>;
}

/** The flows of one priority, served by start-time fair queueing. */
class Level {
    readonly flows = new Map<string, Flow>();
    /** Flows with queued items, ordered by tag. */
    readonly backlogged = new IndexedHeap<Flow>();
    backloggedWeight = 0;
    queued = 0;
    virtualTime = 0;

    flow(account: OrganisationAccount): Flow {
        let flow = this.flows.get(account.name);
        if (flow === undefined) {
            flow = { key: account.name, account, tag: 0, countedWeight: 0, items: new IndexedHeap() };
            this.flows.set(account.name, flow);
        }
        return flow;
    }

    add(flow: Flow, waiting: WaitingItem): void {
        if (flow.items.size === 0) {
            flow.tag = Math.max(flow.tag, this.virtualTime);
            this.backlogged.set(flow.key, flow.tag, flow);
            flow.countedWeight = flow.account.weight;
            this.backloggedWeight += flow.countedWeight;
        }
        flow.items.set(waiting.item.id, waiting.expires, waiting);
        this.queued++;
    }

    remove(flow: Flow, id: string): void {
        flow.items.delete(id);
        this.queued--;
        if (flow.items.size === 0) {
            this.backlogged.delete(flow.key);
            this.backloggedWeight = this.backlogged.size === 0 ? 0 : this.backloggedWeight - flow.countedWeight;
        }
    }

    /** Advances virtual time to the start of an item's service, and the flow's tag to the end of that service. */
    start(flow: Flow, service: number): void {
        // A backlogged flow keeps the credit of earlier corrections; an idle flow starts at the current virtual time.
        const begin = flow.items.size > 0 ? flow.tag : Math.max(flow.tag, this.virtualTime);
        this.virtualTime = Math.max(this.virtualTime, begin);
        this.moveTag(flow, begin + service / flow.account.weight);
    }

    /** Adjusts the flow's tag by the difference between the actual service time and the one charged at the start. */
    correct(flow: Flow, difference: number): void {
        this.moveTag(flow, flow.tag + difference / flow.account.weight);
    }

    private moveTag(flow: Flow, tag: number): void {
        flow.tag = tag;
        if (flow.items.size > 0) {
            this.backlogged.set(flow.key, tag, flow);
        }
    }
}

/**
 * Orders queued items strictly by priority, then by weighted start-time fair queueing over organisations, then by
 * expiry. Adding, removing and taking an item cost O(log n).
 *
 * @internal
 */
export class FairScheduler {
    /** Ordered by priority, highest first. */
    private levels: { readonly priority: number; readonly level: Level; }[] = [];
    private total = 0;

    get size(): number {
        return this.total;
    }

    add(waiting: WaitingItem): void {
        const level = this.level(waiting.item.priority);
        level.add(level.flow(waiting.account), waiting);
        this.total++;
    }

    remove(waiting: WaitingItem): void {
        const level = this.level(waiting.item.priority);
        level.remove(level.flow(waiting.account), waiting.item.id);
        this.total--;
    }

    /** Returns the next item whose organisation may start one now, without removing it. */
    next(mayStart: (account: OrganisationAccount) => boolean): WaitingItem | undefined {
        for (const { level } of this.levels) {
            const found = this.findNext(level, mayStart);
            if (found !== undefined) {
                return found;
            }
        }
        return undefined;
    }

    /** Charges an organisation for an item that starts, by its expected service time. */
    start(account: OrganisationAccount, priority: number, service: number): void {
        const level = this.level(priority);
        level.start(level.flow(account), service);
    }

    /** Corrects a charge by the difference between the actual and the expected service time. */
    correct(account: OrganisationAccount, priority: number, difference: number): void {
        const level = this.level(priority);
        level.correct(level.flow(account), difference);
    }

    /** Estimates the queue position of a new item of this organisation and priority; 1 means that it is served next. */
    queuePosition(account: OrganisationAccount, priority: number): number {
        let ahead = 0;
        for (const entry of this.levels) {
            if (entry.priority <= priority) {
                break;
            }
            ahead += entry.level.queued;
        }
        const level = this.level(priority);
        const flow = level.flow(account);
        const weight = level.backloggedWeight + (flow.items.size === 0 ? account.weight : 0);
        const fair = Math.ceil((flow.items.size + 1) * weight / account.weight);
        return ahead + Math.min(fair, level.queued + 1);
    }

    /**
     * Finds the item to evict from a full queue for a new one: at the lowest priority, from the organisation with the
     * longest queue relative to its weight. Returns undefined when the new item itself is the one to refuse.
     */
    findItemToDisplace(account: OrganisationAccount, priority: number): WaitingItem | undefined {
        const lowest = this.levels.findLast(entry => entry.level.queued > 0);
        if (lowest === undefined || lowest.priority > priority) {
            return undefined;
        }
        const longest = longestFlow(lowest.level);
        const own = lowest.level.flow(account);
        const sameLevel = lowest.priority === priority;
        if (longest === undefined || (sameLevel && backlog(longest) <= (own.items.size + 1) / account.weight)) {
            return undefined;
        }
        return longest.items.peekLeaf();
    }

    private findNext(level: Level, mayStart: (account: OrganisationAccount) => boolean): WaitingItem | undefined {
        const passedOver: Flow[] = [];
        let found: WaitingItem | undefined;
        for (let flow = level.backlogged.peek(); flow !== undefined; flow = level.backlogged.peek()) {
            if (mayStart(flow.account)) {
                found = flow.items.peek();
                break;
            }
            passedOver.push(flow);
            level.backlogged.pop();
        }
        passedOver.forEach(flow => level.backlogged.set(flow.key, flow.tag, flow));
        return found;
    }

    private level(priority: number): Level {
        const found = this.levels.find(entry => entry.priority === priority);
        if (found !== undefined) {
            return found.level;
        }
        const level = new Level();
        this.levels = [...this.levels, { priority, level }].sort((a, b) => b.priority - a.priority);
        return level;
    }
}

function backlog(flow: Flow): number {
    return flow.items.size / flow.account.weight;
}

function longestFlow(level: Level): Flow | undefined {
    let longest: Flow | undefined;
    for (const flow of level.backlogged.values()) {
        if (longest === undefined || backlog(flow) > backlog(longest)) {
            longest = flow;
        }
    }
    return longest;
}
