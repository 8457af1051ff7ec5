import { type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { type Target } from "../directory/Target.js";
import { type ExchangeListener, type ExchangeOptions, type OpenExchange, withdrawn } from "../upstream/Exchange.js";

/** Options of {@link SimulatedTarget}. */
export interface SimulatedTargetOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly target: Target;
    /** Whether a request with this body crashes the target. */
    readonly crashesUnder: (body: string) => boolean;
    /** Called after a crash, with the body of the request that caused it; undefined for a spontaneous crash. */
    readonly onCrash: (body: string | undefined) => void;
    readonly onArrival: (body: string, priority: number | undefined) => void;
    /** Called when a reply names a limit. */
    readonly onLimitNamed?: (body: string) => void;
    /** Called when a refusal that asks for rest arrives at the gateway, with the milliseconds that it was on its way. */
    readonly onRest?: (body: string, duration: number, onTheWay: number) => void;
    /** Called when a reply that says that the target leaves has arrived at the gateway. */
    readonly onLeavingTold?: (body: string) => void;
    /** Milliseconds that a connection, and the head of a refusal, are on their way; 1 and 0 by default. */
    readonly latency?: () => { readonly connect: number; readonly reply: number; };
    /** Number of events of a complete answer. */
    readonly events?: number;
    /** Share of the requests that it answers with an error status before it runs them. */
    readonly failedShare?: number;
    /** Whether it continues an answer after the caller's last event, instead of repeating it from the start. */
    readonly isResuming?: boolean;
    /** Whether a crash ends answers that have begun in order, as the end of an answer without a length. */
    readonly endsQuietly?: boolean;
}

interface Run {
    readonly body: string;
    readonly listener: ExchangeListener;
    hasHead: boolean;
    timer: Timer | undefined;
    /** Bytes of the answer that were sent. */
    bytes: number;
    /** How many of them were sent since its last event. */
    bytesWithoutEvent: number;
    readonly firstEvent: number;
    /** What it has turned into. */
    flood: Flood | undefined;
}

/** Bytes that a faulty target sends in the place of events, again and again. */
export interface Flood {
    readonly content: Buffer;
    /** Milliseconds between two sends of the content. */
    readonly interval: number;
    /** Number of events before them. */
    readonly after: number;
}

/** Network delay from a gateway in milliseconds. */
const delay = 1;
/** Bounds of the milliseconds until a request begins to run, while other prompts are prefilled. */
const wait = { least: 30, most: 130 };
/** Bounds of the milliseconds from the start of a run to its crash. */
const crashTime = { least: 30, most: 100 };
/** Milliseconds between two events of a stream. */
const eventInterval = 24;
/** Number of events of a complete answer. */
export const simulatedEvents = 40;
const failureStatus = 500;
/** Status with which a target refuses a request without running it. */
export const refusalStatus = 503;

/** Header with the limit that a target names. */
export const limitHeader = "limit";
/** Header with the milliseconds for which a target that refuses wants nothing from the gateway. */
export const restHeader = "rest";
/** Header with the priority that a target is told. */
export const priorityHeader = "priority";
/** Header with the id of the last event that the caller has. */
export const lastEventHeader = "last-event";
/** Header of a target that is leaving. */
export const leavingHeader = "leaving";

/** A simulated target that streams events, and crashes shortly after it begins to run certain requests. */
export class SimulatedTarget {
    isDown = false;
    /** Whether it refuses new requests. */
    isRefusing = false;
    /** Share of the requests that it refuses, from 0 to 1. */
    refusedShare = 0;
    /** Number of requests that it runs at once; it refuses what comes beyond. */
    capacity = Infinity;
    /** Milliseconds of rest that it asks for when it refuses; undefined for none. */
    rest: number | undefined;
    /** Whether it says in its replies that it is leaving. */
    isLeaving = false;
    /** Whether it withholds reports, though it may run requests. */
    isMute = false;
    /** The limit that it names in its replies, in requests per second. */
    limit: number | undefined;
    /** Number of requests that have reached it. */
    arrivals = 0;
    /** Largest number of bytes that one of its streams has sent since its last event. */
    mostBytesWithoutEvent = 0;
    /** What its streams turn into; undefined while it is sound. */
    flood: Flood | undefined;
    /** Returns the text of an event's id, which a faulty target spoils or, if it is undefined, leaves out. */
    writeId: (id: number) => string | undefined = String;
    private silentUntil = -Infinity;
    private readonly runs = new Set<Run>();

    constructor(private readonly options: SimulatedTargetOptions) {}

    get target(): Target {
        return this.options.target;
    }

    /** Whether it answers calls for a report. */
    get givesReports(): boolean {
        return !this.isDown && !this.isMute;
    }

    /** Number of requests that it runs. */
    get running(): number {
        return this.runs.size;
    }

    /** Pauses all streams for `duration` milliseconds. */
    fallSilent(duration: number): void {
        this.silentUntil = this.options.clock.now() + duration;
    }

    /** Receives a request, in place of the constructor of a real exchange. */
    open({ body, headers, listener: given, maySend }: ExchangeOptions): OpenExchange {
        const { clock, onArrival, isResuming = false } = this.options;
        const lastEvent = isResuming ? readHeader(headers, lastEventHeader) : undefined;
        let isCancelled = false;
        const listener = stopListening(given, () => isCancelled);
        const run: Run = {
            body: body?.toString() ?? "",
            listener,
            hasHead: false,
            timer: undefined,
            bytes: 0,
            bytesWithoutEvent: 0,
            firstEvent: lastEvent === undefined ? 0 : lastEvent + 1,
            flood: undefined,
        };
        const latency = this.options.latency?.() ?? { connect: delay, reply: 0 };
        let isSent = false;
        run.timer = clock.schedule(() => {
            if (this.isDown) {
                listener.onFailure({ neverSent: true, reason: "ECONNREFUSED" });
                return;
            }
            if (!maySend()) {
                listener.onFailure(withdrawn);
                return;
            }
            if (isCancelled) {
                return;
            }
            isSent = true;
            this.arrivals++;
            onArrival(run.body, readHeader(headers, priorityHeader));
            if (this.isRefusing || this.runs.size >= this.capacity || this.drawsRefusal) {
                this.refuse(run, latency.reply);
                return;
            }
            this.runs.add(run);
            run.timer = clock.schedule(() => this.begin(run), this.draw(wait));
        }, latency.connect);
        return {
            pause: () => undefined,
            resume: () => undefined,
            cancel: () => {
                isCancelled = true;
                run.timer?.cancel();
                this.runs.delete(run);
            },
            get neverSent() {
                return !isSent;
            },
            get bytesRead() {
                return run.bytes;
            },
        };
    }

    /** Resets all runs at the same moment, and refuses connections from then on. */
    crash(body?: string): void {
        this.isDown = true;
        const cut = [...this.runs];
        this.runs.clear();
        cut.forEach(({ timer }) => timer?.cancel());
        this.options.onCrash(body);
        for (const { listener, hasHead } of cut) {
            if (hasHead && this.options.endsQuietly === true) {
                listener.onEnd();
            }
            else {
                listener.onFailure({ neverSent: false, reason: "ECONNRESET" });
            }
        }
    }

    private get drawsRefusal(): boolean {
        return this.refusedShare > 0 && this.options.random.next() < this.refusedShare;
    }

    private refuse(run: Run, delay: number): void {
        const { clock, onRest } = this.options;
        const headers = this.replyHeaders(run.body);
        const { rest } = this;
        if (rest !== undefined) {
            headers[restHeader] = `${rest}`;
        }
        const answer = () => {
            if (rest !== undefined) {
                onRest?.(run.body, rest, delay);
            }
            this.tellLeaving(run.body, headers);
            run.listener.onHead({ statusCode: refusalStatus, headers, rawHeaders: [] });
        };
        if (delay === 0) {
            answer();
            return;
        }
        run.timer = clock.schedule(answer, delay);
    }

    private begin(run: Run): void {
        const { clock, random, crashesUnder, failedShare = 0 } = this.options;
        if (failedShare > 0 && random.next() < failedShare) {
            this.runs.delete(run);
            run.listener.onHead({ statusCode: failureStatus, headers: { "content-length": "0" }, rawHeaders: [] });
            run.listener.onEnd();
            return;
        }
        if (crashesUnder(run.body)) {
            if (this.options.endsQuietly === true) {
                this.sendHead(run);
            }
            run.timer = clock.schedule(() => this.crash(run.body), this.draw(crashTime));
            return;
        }
        if (this.isSilent) {
            this.postpone(run, () => this.begin(run));
            return;
        }
        this.sendHead(run);
        this.sendEvent(run, run.firstEvent);
    }

    private sendHead(run: Run): void {
        const headers = this.replyHeaders(run.body);
        if (this.options.isResuming === true) {
            // The end of an answer without a further event is told apart from a broken connection.
            headers["transfer-encoding"] = "chunked";
        }
        this.tellLeaving(run.body, headers);
        run.hasHead = true;
        run.listener.onHead({ statusCode: 200, headers, rawHeaders: [] });
    }

    private replyHeaders(body: string): Record<string, string> {
        const leaving: Record<string, string> = this.isLeaving ? { [leavingHeader]: "1" } : {};
        if (this.limit === undefined) {
            return leaving;
        }
        this.options.onLimitNamed?.(body);
        return { ...leaving, [limitHeader]: `${this.limit}` };
    }

    private tellLeaving(body: string, headers: Record<string, string>): void {
        if (headers[leavingHeader] !== undefined) {
            this.options.onLeavingTold?.(body);
        }
    }

    private get isSilent(): boolean {
        return this.options.clock.now() < this.silentUntil;
    }

    private postpone(run: Run, action: () => void): void {
        run.timer = this.options.clock.schedule(action, this.silentUntil - this.options.clock.now());
    }

    private sendEvent(run: Run, id: number): void {
        if (this.isSilent) {
            this.postpone(run, () => this.sendEvent(run, id));
            return;
        }
        if (this.flood !== undefined && id >= this.flood.after) {
            run.flood ??= this.flood;
        }
        if (run.flood !== undefined) {
            this.sendFlood(run, run.flood);
            return;
        }
        if (id >= (this.options.events ?? simulatedEvents)) {
            this.runs.delete(run);
            run.listener.onEnd();
            return;
        }
        run.timer = this.options.clock.schedule(() => this.sendEvent(run, id + 1), eventInterval);
        run.bytesWithoutEvent = 0;
        const text = this.writeId(id);
        this.sendBytes(run, Buffer.from(`${text === undefined ? "" : `id: ${text}\n`}data: x\n\n`));
    }

    private sendFlood(run: Run, flood: Flood): void {
        const { content, interval } = flood;
        run.timer = this.options.clock.schedule(() => this.sendFlood(run, flood), interval);
        run.bytesWithoutEvent += content.length;
        this.mostBytesWithoutEvent = Math.max(this.mostBytesWithoutEvent, run.bytesWithoutEvent);
        this.sendBytes(run, content);
    }

    private sendBytes(run: Run, bytes: Buffer): void {
        run.bytes += bytes.length;
        run.listener.onData(bytes);
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + Math.floor(this.options.random.next() * (most - least));
    }
}

function readHeader(headers: readonly string[], name: string): number | undefined {
    const index = headers.indexOf(name);
    return index === -1 ? undefined : Number(headers[index + 1]);
}

/** Like an exchange, a target calls its listener no more once it is cancelled. */
function stopListening(listener: ExchangeListener, isCancelled: () => boolean): ExchangeListener {
    const unlessCancelled = <Given extends unknown[]>(call: (...given: Given) => void) => (...given: Given) => {
        if (!isCancelled()) {
            call(...given);
        }
    };
    return {
        onHead: unlessCancelled(response => listener.onHead(response)),
        onData: unlessCancelled(chunk => listener.onData(chunk)),
        onEnd: unlessCancelled(() => listener.onEnd()),
        onFailure: unlessCancelled(failure => listener.onFailure(failure)),
    };
}
