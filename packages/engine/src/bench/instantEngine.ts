import { type Clock } from "@waxwingspar/utils";
import { type Session } from "../lib/Engine.js";
import { FakeEngine } from "../lib/FakeEngine.js";

const model = "bench";
const version = "1";
const layers = 8;

/** Creates a fake engine whose batches complete instantly. */
export function instantEngine(clock: Clock): FakeEngine {
    const held = [{ model, version, first: 0, last: layers - 1 }];
    return new FakeEngine({ clock, held, slots: 1024, stepTime: 0, itemTime: 0, prefillTokenTime: 0 });
}

/** Creates a session over all layers of the {@link instantEngine}. */
export function benchSession(session: string): Session {
    return { session, model, version, first: 0, last: layers - 1, priority: 0 };
}
