import assert from "node:assert/strict";
import { test } from "node:test";
import { streamRoute } from "../testing/SimulatedRouter.js";
import { listRankedServices } from "./listRankedServices.js";

function route(priority: number, ...services: string[]) {
    return { ...streamRoute, priority, shares: services.map(service => ({ service, weight: 1 })) };
}

test("a service is ranked if its routes have different priorities, also through a split route", () => {
    const routes = [route(1, "equal"), route(1, "equal"), route(0, "a"), route(2, "a", "b"), route(1, "b")];
    assert.deepEqual([...listRankedServices(routes)], ["a", "b"]);
    assert.deepEqual([...listRankedServices([])], []);
});
