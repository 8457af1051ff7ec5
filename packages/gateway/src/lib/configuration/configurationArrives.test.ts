import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationSite } from "../testing/ConfigurationSite.js";

/** Bytes a millisecond of a link of 14 Mbit/s. */
const narrowRate = 1_750;
const documentBytes = 1_500_000;

test("a document that takes longer than a call's limit on a narrow link is in force on every gateway", async () => {
    const site = new ConfigurationSite({ gatewaysEach: 6, linkRate: index => index % 6 < 2 ? 25_000 : narrowRate });
    await site.run(6_000);
    site.publish(documentBytes);
    await site.run(10_000);
    assert.deepEqual(site.listLate(), []);
});

test("a document that all gateways read over the store's own narrow link is sent to each about once", async () => {
    const site = new ConfigurationSite({ gatewaysEach: 4, storeRate: 5_000, linkRate: () => 25_000 });
    await site.run(6_000);
    site.publish(documentBytes);
    await site.run(12_000);
    assert.deepEqual(site.listLate(), []);
    assert.ok(site.mostDocuments <= 2, `${site.mostDocuments} times`);
});

test("gateways that all start while the document is large get it over the store's narrow link", async () => {
    const site = new ConfigurationSite({ gatewaysEach: 4, notStarted: 8, storeRate: 5_000 });
    site.publish(documentBytes);
    site.readers.forEach(reader => site.start(reader));
    await site.run(12_000);
    assert.deepEqual(site.listLate(), []);
});

test("versions in quick succession do not keep a gateway on a narrow link from getting the newest", async () => {
    const site = new ConfigurationSite({ gatewaysEach: 4, linkRate: () => narrowRate });
    await site.run(6_000);
    for (let count = 0; count < 12; count++) {
        site.publish(documentBytes);
        await site.run(330);
    }
    await site.run(8_000);
    assert.deepEqual(site.listLate(), []);
});

test("a gateway that missed many versions reads the newest document only, not one of each version", async () => {
    const site = new ConfigurationSite({ dataCentres: 1, gatewaysEach: 3, linkRate: () => narrowRate });
    site.publish(documentBytes);
    await site.run(8_000);
    const [behind] = site.readers;
    assert.ok(behind !== undefined);
    behind.isRefused = true;
    const before = site.countAllDocuments(behind);
    for (let count = 0; count < 12; count++) {
        site.publish(documentBytes);
        await site.run(100);
    }
    behind.isRefused = false;
    site.disturb(behind);
    await site.run(4_000);
    assert.equal(behind.configuration.current?.version, site.version);
    assert.ok(site.countAllDocuments(behind) - before <= 2, `${site.countAllDocuments(behind) - before} documents`);
});

test("credentials stay accepted while a document takes a second and a half, whenever it is written", async () => {
    for (let offset = 0; offset < 3_000; offset += 300) {
        const site = new ConfigurationSite({ dataCentres: 1, gatewaysEach: 1, linkRate: () => 1_000 });
        await site.run(2_000);
        site.publish(documentBytes);
        await site.run(8_000 + offset);
        site.publish(documentBytes);
        await site.run(9_000, () => assert.deepEqual(site.listUnconfirmed(), [], `written after ${offset} ms`));
        assert.equal(site.readers[0]?.configuration.current?.version, site.version);
    }
});

for (const [bytes, most] of [[400_000, 0.25], [documentBytes, 1]] as const) {
    test(`36 gateways: the store sends a document of ${bytes} bytes ${most} times a gateway at most`, async () => {
        const site = new ConfigurationSite({ dataCentres: 3, gatewaysEach: 12, linkRate: () => narrowRate });
        await site.run(6_000);
        for (let count = 0; count < 4; count++) {
            site.publish(bytes);
            await site.run(4_000);
        }
        assert.deepEqual(site.listLate(), []);
        assert.ok(site.documentsPerVersion <= most, `${site.documentsPerVersion}`);
    });
}
