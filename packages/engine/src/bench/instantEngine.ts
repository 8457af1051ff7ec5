import { type Clock } from "@waxwingspar/utils";
import { type Session } from "../lib/Engine.js";
import { FakeEngine } from "../lib/FakeEngine.js";

const model = "bench";
const version = "1";
const layers = 8;

/** A fake engine whose batches take no time. */
export function instantEngine(clock: Clock): FakeEngine {
    const held = [{ model, version, first: 0, last: layers - 1 }];
    return new FakeEngine({ clock, held, slots: 1024, stepTime: 0, itemTime: 0, prefillTokenTime: 0 });
}

/** A session that the engine serves. */
export function benchSession(session: string): Session {
    return { session, model, version, first: 0, last: layers - 1, priority: 0 };
}
