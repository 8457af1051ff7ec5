import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** For how long a process runs and stands still in turn, in milliseconds. */
export interface ProcessorPart {
    readonly running: number;
    readonly standing: number;
}

const script = fileURLToPath(new URL("../throttle.js", import.meta.url));

/** Gives a process a part of a processor only, as a host with little processor time does. */
export class Throttle {
    private readonly child: ChildProcess;

    constructor(pid: number, part: ProcessorPart) {
        this.child = fork(script, [String(pid)], { execArgv: [] });
        this.child.send(part);
    }

    set(part: ProcessorPart): void {
        this.child.send(part);
    }

    /** Ends the throttling. The process may stand still then, until it gets SIGCONT. */
    async stop(): Promise<void> {
        const ended = once(this.child, "exit");
        this.child.kill();
        await ended;
    }
}
