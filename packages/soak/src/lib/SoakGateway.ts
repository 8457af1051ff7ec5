import { callGateway, testSettings } from "@waxwingspar/platform/testing";
import { SiteProcess } from "@waxwingspar/proof";
import { type Random } from "@waxwingspar/utils";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { drawLinkFault } from "./drawLinkFault.js";
import { FaultProxy } from "./FaultProxy.js";
import { type GatewayIncarnation, type SoakLog } from "./SoakLog.js";
import { type ProcessorPart, Throttle } from "./Throttle.js";

/** Options of {@link SoakGateway}. */
export interface SoakGatewayOptions {
    readonly name: string;
    readonly dataCentre: string;
    readonly ports: { readonly callers: number; readonly readiness: number; readonly peers: number; };
    readonly storeAddress: string;
    /** Folder of settings and logs. */
    readonly folder: string;
    readonly log: SoakLog;
    readonly now: () => number;
    /** The program to start; by default that of this build. */
    readonly command?: string;
}

/** Milliseconds within which a stopped process ends: the grace period and a second. */
const stopTime = 9_000;
/** Milliseconds after the start of a stop in which it may get SIGHUP: once Node.js has begun to exit, that ends it. */
const hangUpTime = 2_000;
/** Milliseconds in rotation after which callers have come. */
const settleTime = 2_000;
/** Milliseconds until a configuration must be in force; with this bound followers rely on relays. */
const configurationTime = 3_000;
const success = 200;
const ownCommand = fileURLToPath(new URL("../../../cli/dist/bin.js", import.meta.url));

/** A gateway process that is disturbed and started again. */
export class SoakGateway {
    incarnation: GatewayIncarnation;
    /** Since when it gets new connections; undefined while it gets none. */
    private rotatedSince: number | undefined;
    private process: SiteProcess | undefined;
    private isBusy = false;
    /** Whether the process has been seen to listen; one that is still loading ends by the signal itself. */
    private hasListened = false;
    private starts = 0;
    /** The link over which it reaches the store. */
    private readonly storeLink: FaultProxy;

    constructor(private readonly options: SoakGatewayOptions) {
        this.storeLink = new FaultProxy({ server: options.storeAddress });
        this.incarnation = this.createIncarnation();
    }

    get name(): string {
        return this.options.name;
    }

    get port(): number {
        return this.options.ports.callers;
    }

    get isInRotation(): boolean {
        return this.rotatedSince !== undefined;
    }

    /** Whether callers have had the time to come to it. */
    get isSettled(): boolean {
        return this.isCalm && this.options.now() - (this.rotatedSince ?? Infinity) > settleTime;
    }

    /** Whether its process runs and no disturbance of it is in progress. */
    get isCalm(): boolean {
        return this.process?.running === true && !this.isBusy;
    }

    /** Starts its link to the store and the process. */
    async open(): Promise<void> {
        await this.storeLink.start();
        await this.start();
    }

    /** Starts the process and waits until it is ready. */
    private async start(): Promise<void> {
        const { name, dataCentre, ports, folder, command = ownCommand } = this.options;
        const settings = join(folder, `${name}.json`);
        const { Bounds, ...common } = testSettings(this.storeLink.address, { name, dataCentre, ports });
        const bounds = { ...Bounds as object, ConfigApplyMs: configurationTime };
        writeFileSync(settings, JSON.stringify({ ...common, Bounds: bounds }));
        this.incarnation = this.createIncarnation();
        this.hasListened = false;
        this.process = new SiteProcess({
            name,
            command: [command, "gateway", "--settings", settings],
            log: join(folder, `${name}.log`),
        });
        await this.process.ready();
    }

    /** Updates whether it gets new connections. */
    async checkReadiness(): Promise<void> {
        const { process } = this;
        const reply = await callGateway({ port: this.options.ports.readiness, path: "/ready" }).catch(() => undefined);
        this.rotatedSince = reply?.status === success ? this.rotatedSince ?? this.options.now() : undefined;
        this.hasListened ||= reply !== undefined && process === this.process;
    }

    /**
     * Stops as planned and starts again.
     *
     * @param again - Milliseconds after which the process gets the signal once more.
     */
    async restart(again?: number): Promise<void> {
        await this.disturb(`gets SIGTERM${again === undefined ? "" : " twice"}`, async process => {
            this.incarnation.stoppingSince = this.options.now();
            process.signal("SIGTERM");
            const timer = again === undefined ? undefined : setTimeout(() => process.signal("SIGTERM"), again);
            const hasEnded = await process.waitForEnd(stopTime);
            clearTimeout(timer);
            const isPlanned = process.end === "0" || (process.end === "SIGTERM" && !this.hasListened);
            if (!hasEnded || !isPlanned) {
                this.options.log.processFaults.push(`${this.name}: stop ended with ${process.end ?? "no end"}`);
                await process.kill();
            }
            await this.start();
        });
    }

    /** Reads its settings again, also while it stops. A process that still loads is ended by the signal. */
    hangUp(): void {
        const { log, now } = this.options;
        const { stoppingSince = now() } = this.incarnation;
        if (this.hasListened && now() - stoppingSince < hangUpTime) {
            log.event(now(), `${this.name} gets SIGHUP`);
            this.process?.signal("SIGHUP");
        }
    }

    /** Is killed and starts again. */
    async crash(): Promise<void> {
        await this.disturb("is killed", async process => {
            this.incarnation.wasCutOff = true;
            await process.kill();
            await this.start();
        });
    }

    /** Stands still. */
    async pause(duration: number, wait: (duration: number) => Promise<void>): Promise<void> {
        await this.disturb(`stands still for ${Math.round(duration)} ms`, async process => {
            this.incarnation.wasCutOff = true;
            process.signal("SIGSTOP");
            await wait(duration);
            process.signal("SIGCONT");
        });
    }

    /** Runs for a part of the time only. */
    async starve(part: ProcessorPart, duration: number, wait: (duration: number) => Promise<void>): Promise<void> {
        const { running, standing } = part;
        await this.disturb(
            `runs ${running} of ${running + standing} ms for ${Math.round(duration)} ms`,
            async process => {
                if (process.pid === undefined) {
                    return;
                }
                const throttle = new Throttle(process.pid, part);
                const slowness = (running + standing) / running;
                const starvation = { from: this.options.now(), until: Infinity, slowness };
                this.incarnation.starvations.push(starvation);
                await wait(duration);
                await throttle.stop();
                process.signal("SIGCONT");
                starvation.until = this.options.now();
            },
        );
    }

    /** Makes its link to the store misbehave for a while. */
    async failStoreLink(random: Random, wait: (duration: number) => Promise<void>): Promise<void> {
        const { log, now } = this.options;
        const { fault, duration, text } = drawLinkFault(random);
        log.event(now(), `${this.name}'s link to the store is ${text}`);
        this.incarnation.storeCuts.push({ from: now(), until: now() + duration });
        this.storeLink.setFault(fault);
        await wait(duration);
        this.storeLink.setFault(undefined);
    }

    /** Reports the headers of targets that its processes did not know. */
    reportUnknownHeaders(): void {
        const { name, folder, log } = this.options;
        const file = join(folder, `${name}.log`);
        const lines = existsSync(file) ? readFileSync(file, "utf8").split("\n") : [];
        lines.filter(line => line.includes("reply has an unknown header")).forEach(line =>
            log.unknownHeaders.push(line)
        );
    }

    /** Ends the process for good. */
    async end(): Promise<void> {
        if (this.process?.running === false && !this.isBusy) {
            this.options.log.processFaults.push(`${this.name} ended by itself with ${this.process.end}`);
        }
        this.isBusy = true;
        await this.process?.kill();
        this.storeLink.stop();
    }

    private async disturb(what: string, action: (process: SiteProcess) => Promise<void>): Promise<void> {
        if (this.process === undefined || !this.isCalm) {
            return;
        }
        const { log, now } = this.options;
        log.event(now(), `${this.name} ${what}`);
        this.isBusy = true;
        const { disturbances } = this.incarnation;
        const disturbance = { from: now(), until: Infinity };
        disturbances.push(disturbance);
        await action(this.process);
        disturbance.until = now();
        this.isBusy = false;
    }

    /** A new process is disturbed until it counts as in touch. */
    private createIncarnation(): GatewayIncarnation {
        const now = this.options.now();
        return {
            gateway: this.name,
            number: ++this.starts,
            disturbances: [{ from: now, until: now }],
            storeCuts: [],
            starvations: [],
            wasCutOff: false,
        };
    }
}
