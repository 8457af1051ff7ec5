import { ClaimJournals, claimMethods, type ClaimOwner, ClaimRouter } from "@waxwingspar/claims";
import { Entry } from "@waxwingspar/entry";
import { createRetryBudget, createRouter } from "@waxwingspar/policy";
import { LinkServer, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { Foundation } from "./Foundation.js";
import { type EntryFile } from "./settings.js";

const maintainInterval = 1000;

/** Starts an entry. @returns Stops it gracefully. @internal */
export async function runEntry(settings: EntryFile): Promise<() => Promise<number>> {
    const foundation = await Foundation.open(settings, "entry");
    const { clock, random, hello, logger, node, recorder, membership } = foundation;
    const { name, dataCentre, region, credentials } = settings;
    const journals = new ClaimJournals({ table: foundation.store, objects: foundation.objects, clock, random });
    const methods: Record<string, RpcMethod> = { ...node.methods(), ...claimMethods(journals) };
    const pool = new TcpLinkPool({ hello, credentials, clock, random, methods });
    const owners = createOwners(foundation);
    const claims = new ClaimRouter({ process: name, owners, journals, links: foundation.pool, clock });
    const entry = new Entry({
        listen: settings.callers,
        links: pool,
        configuration: node,
        router: createRouter({ clock, random, entry: name, dataCentre, region }),
        retryBudget: createRetryBudget({ clock, random }),
        claims,
        clock,
        logger,
        history: recorder.record,
        anonymousOrganisation: settings.anonymousOrganisation,
        limits: settings.limits,
    });
    const server = new LinkServer({
        ...settings.links,
        hello,
        credentials,
        clock,
        methods,
        onLink: link => membership.sawHello(link.peer),
    });
    const address = await server.listen();
    if (address.isErr) {
        throw new Error(address.error.message);
    }
    await foundation.start();
    const timer = setInterval(() => void claims.maintain(), maintainInterval);
    const callers = await entry.start();
    if (callers.isErr) {
        throw new Error(callers.error.message);
    }
    return async () => {
        clearInterval(timer);
        void foundation.leave();
        const interrupted = await entry.stop();
        pool.close();
        await server.close();
        await foundation.close();
        return interrupted;
    };
}

/** The live entries; the same array as long as they are the same. */
function createOwners({ membership }: Foundation): () => readonly ClaimOwner[] {
    let list: readonly ClaimOwner[] = [];
    return () => {
        const live = membership.members().filter(({ role, state }) => role === "entry" && state === "live");
        const found = live.map(({ process, host, port }) => ({ process, address: { host, port } }));
        if (JSON.stringify(found) !== JSON.stringify(list)) {
            list = found;
        }
        return list;
    };
}
