/**
 * Runs the store and the targets of {@link playHerd} in a thread of their own, so that they answer in time beside its
 * callers. Posts the address of the store.
 */
import { FakeStore, FakeTarget, listTarget, serve, stream, testConfiguration } from "@waxwingspar/platform/testing";
import { parentPort } from "node:worker_threads";

const streamEvents = 20;
const eventInterval = 100;
const serviceTime = 20;
const plainTargets = 3;
/** Room of the chain, so that targets are never what is short. */
const slots = 5_000;

const store = new FakeStore();
const targets = [
    ...[1, 2].map(index => new FakeTarget(`model-x-${index}`, stream(streamEvents, Infinity, eventInterval))),
    ...Array.from(
        { length: plainTargets },
        (_, index) =>
            new FakeTarget(`plain-x-${index}`, (...seen) => void setTimeout(() => serve(...seen), serviceTime)),
    ),
];
await store.start();
const configuration = testConfiguration(1);
const services = configuration.Services.map(service =>
    "Engine" in service ? { ...service, Engine: { ...service.Engine, Slots: slots } } : service
);
store.put("op", "config", { ...configuration, Services: services });
await Promise.all(targets.map(target => target.start()));
targets.forEach(target => listTarget(store, target));
parentPort?.postMessage(store.address);
