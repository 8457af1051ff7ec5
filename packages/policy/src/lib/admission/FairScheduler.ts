import { IndexedHeap } from "../support/IndexedHeap.js";

/**
 * An organisation among which a {@link FairScheduler} divides service by weight.
 *
 * @public
 */
export interface FairAccount {
    readonly name: string;
    /** May change while items of the account are queued. */
    readonly weight: number;
}

/**
 * An item that a {@link FairScheduler} queues.
 *
 * @public
 */
export interface FairItem {
    readonly id: string;
    /** Items of higher priority are served first. */
    readonly priority: number;
    readonly account: FairAccount;
    /** Position among the items of its account and priority, lowest first. */
    readonly order: number;
}

/** The queued items of one organisation at one priority. */
interface Flow<Item extends FairItem> {
    readonly key: string;
    readonly account: FairAccount;
    /** The virtual start time of the flow's next item. */
    tag: number;
    /** The weight added to the level's sum; the organisation's weight may change while the flow is backlogged. */
    countedWeight: number;
    readonly items: IndexedHeap<Item>;
}

/** The flows of one priority, served by start-time fair queueing. */
class Level<Item extends FairItem> {
    readonly flows = new Map<string, Flow<Item>>();
    /** Flows with queued items, ordered by tag. */
    readonly backlogged = new IndexedHeap<Flow<Item>>();
    backloggedWeight = 0;
    queued = 0;
    virtualTime = 0;

    flow(account: FairAccount): Flow<Item> {
        let flow = this.flows.get(account.name);
        if (flow === undefined) {
            flow = { key: account.name, account, tag: 0, countedWeight: 0, items: new IndexedHeap() };
            this.flows.set(account.name, flow);
        }
        return flow;
    }

    add(flow: Flow<Item>, item: Item): void {
        if (flow.items.size === 0) {
            flow.tag = Math.max(flow.tag, this.virtualTime);
            this.backlogged.set(flow.key, flow.tag, flow);
            flow.countedWeight = flow.account.weight;
            this.backloggedWeight += flow.countedWeight;
        }
        flow.items.set(item.id, item.order, item);
        this.queued++;
    }

    remove(flow: Flow<Item>, id: string): void {
        flow.items.delete(id);
        this.queued--;
        if (flow.items.size === 0) {
            this.backlogged.delete(flow.key);
            this.backloggedWeight = this.backlogged.size === 0 ? 0 : this.backloggedWeight - flow.countedWeight;
        }
    }

    /** Advances virtual time to the start of an item's service, and the flow's tag to the end of that service. */
    start(flow: Flow<Item>, service: number): void {
        // A backlogged flow keeps the credit of earlier corrections; an idle flow starts at the current virtual time.
        const begin = flow.items.size > 0 ? flow.tag : Math.max(flow.tag, this.virtualTime);
        this.virtualTime = Math.max(this.virtualTime, begin);
        this.moveTag(flow, begin + service / flow.account.weight);
    }

    /** Adjusts the flow's tag by the difference between the actual service time and the one charged at the start. */
    correct(flow: Flow<Item>, difference: number): void {
        this.moveTag(flow, flow.tag + difference / flow.account.weight);
    }

    private moveTag(flow: Flow<Item>, tag: number): void {
        flow.tag = tag;
        if (flow.items.size > 0) {
            this.backlogged.set(flow.key, tag, flow);
        }
    }
}

/**
 * Orders queued items strictly by priority, then by weighted start-time fair queueing over organisations, then by the
 * order that each item states. Adding, removing and taking an item cost O(log n). An agent's work queue and a gateway's
 * queue for slots use it when more is asked of targets than they can serve.
 *
 * @public
 */
export class FairScheduler<Item extends FairItem> {
    /** Ordered by priority, highest first. */
    private levels: { readonly priority: number; readonly level: Level<Item>; }[] = [];
    private total = 0;

    get size(): number {
        return this.total;
    }

    add(item: Item): void {
        const level = this.level(item.priority);
        level.add(level.flow(item.account), item);
        this.total++;
    }

    remove(item: Item): void {
        const level = this.level(item.priority);
        level.remove(level.flow(item.account), item.id);
        this.total--;
    }

    /**
     * Returns the next item that may start now, without removing it.
     *
     * @param mayStart - Whether items of an organisation may start now.
     * @param isEligible - Whether an item may start now. Items that may not are passed over.
     */
    next(mayStart: (account: Item["account"]) => boolean, isEligible?: (item: Item) => boolean): Item | undefined {
        for (const { level } of this.levels) {
            const found = this.findNext(level, mayStart, isEligible);
            if (found !== undefined) {
                return found;
            }
        }
        return undefined;
    }

    /** Charges an organisation for an item that starts, by its expected service time. */
    start(account: FairAccount, priority: number, service: number): void {
        const level = this.level(priority);
        level.start(level.flow(account), service);
    }

    /** Corrects a charge by the difference between the actual and the expected service time. */
    correct(account: FairAccount, priority: number, difference: number): void {
        const level = this.level(priority);
        level.correct(level.flow(account), difference);
    }

    /** Estimates the queue position of a new item of this organisation and priority; 1 means that it is served next. */
    queuePosition(account: FairAccount, priority: number): number {
        let moreUrgent = 0;
        for (const entry of this.levels) {
            if (entry.priority <= priority) {
                break;
            }
            moreUrgent += entry.level.queued;
        }
        const level = this.level(priority);
        const flow = level.flow(account);
        const weight = level.backloggedWeight + (flow.items.size === 0 ? account.weight : 0);
        const fair = Math.ceil((flow.items.size + 1) * weight / account.weight);
        return moreUrgent + Math.min(fair, level.queued + 1);
    }

    /**
     * Finds the item to evict from a full queue for a new one: at the lowest priority, from the organisation with the
     * longest queue relative to its weight. Returns undefined when the new item itself is the one to refuse.
     */
    findItemToDisplace(account: FairAccount, priority: number): Item | undefined {
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

    private findNext(
        level: Level<Item>,
        mayStart: (account: Item["account"]) => boolean,
        isEligible: ((item: Item) => boolean) | undefined,
    ): Item | undefined {
        const passedOver: Flow<Item>[] = [];
        let found: Item | undefined;
        for (let flow = level.backlogged.peek(); flow !== undefined; flow = level.backlogged.peek()) {
            if (mayStart(flow.account)) {
                found = firstEligible(flow, isEligible);
            }
            if (found !== undefined) {
                break;
            }
            passedOver.push(flow);
            level.backlogged.pop();
        }
        passedOver.forEach(flow => level.backlogged.set(flow.key, flow.tag, flow));
        return found;
    }

    private level(priority: number): Level<Item> {
        const found = this.levels.find(entry => entry.priority === priority);
        if (found !== undefined) {
            return found.level;
        }
        const level = new Level<Item>();
        this.levels = [...this.levels, { priority, level }].sort((a, b) => b.priority - a.priority);
        return level;
    }
}

function firstEligible<Item extends FairItem>(
    flow: Flow<Item>,
    isEligible: ((item: Item) => boolean) | undefined,
): Item | undefined {
    if (isEligible === undefined) {
        return flow.items.peek();
    }
    const passedOver: Item[] = [];
    for (let item = flow.items.peek(); item !== undefined && !isEligible(item); item = flow.items.peek()) {
        passedOver.push(item);
        flow.items.pop();
    }
    const found = flow.items.peek();
    passedOver.forEach(item => flow.items.set(item.id, item.order, item));
    return found;
}

function backlog<Item extends FairItem>(flow: Flow<Item>): number {
    return flow.items.size / flow.account.weight;
}

function longestFlow<Item extends FairItem>(level: Level<Item>): Flow<Item> | undefined {
    let longest: Flow<Item> | undefined;
    for (const flow of level.backlogged.values()) {
        if (longest === undefined || backlog(flow) > backlog(longest)) {
            longest = flow;
        }
    }
    return longest;
}
