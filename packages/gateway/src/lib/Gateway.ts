import { sleep } from "@waxwingspar/utils";
import { type AddressInfo } from "node:net";
import { SlotGrants } from "./admission/SlotGrants.js";
import { CrossingAllowance } from "./chains/CrossingAllowance.js";
import { loadShare } from "./chains/loadShare.js";
import { TargetPaces } from "./chains/TargetPaces.js";
import { TargetSuspicions } from "./chains/TargetSuspicions.js";
import { type Configuration } from "./configuration/Configuration.js";
import { type ConfigurationInForce } from "./configuration/ConfigurationInForce.js";
import { ConfigurationKnowledge } from "./configuration/ConfigurationKnowledge.js";
import { ConfigurationLag } from "./configuration/ConfigurationLag.js";
import { TableCopies } from "./copies/TableCopies.js";
import { CrashProtection } from "./crashes/CrashProtection.js";
import { createTableWatches } from "./createTableWatches.js";
import { logTargetChange } from "./directory/logTargetChange.js";
import { type DirectoryChange, TargetDirectory } from "./directory/TargetDirectory.js";
import { PlacementDuty } from "./duty/PlacementDuty.js";
import { PlacementLease } from "./duty/PlacementLease.js";
import { type GatewayOptions } from "./GatewayOptions.js";
import { SendPermits } from "./limits/SendPermits.js";
import { TargetLimits } from "./limits/TargetLimits.js";
import { allMechanismsOn } from "./Mechanisms.js";
import { LoopMonitor } from "./observation/LoopMonitor.js";
import { GatewayMetrics, type Observation } from "./observation/Observation.js";
import { chooseWatchRole } from "./peers/chooseWatchRole.js";
import { PeerGroup, type PeerGroupOptions } from "./peers/PeerGroup.js";
import { observeEngines } from "./replies/observeEngines.js";
import { TargetReplies } from "./replies/TargetReplies.js";
import { createCallerServer } from "./requests/createCallerServer.js";
import { RequestPath } from "./requests/RequestPath.js";
import { RequestRouter } from "./requests/RequestRouter.js";
import { TargetRests } from "./rests/TargetRests.js";
import { AcceptBursts } from "./server/AcceptBursts.js";
import { type CallerServer } from "./server/CallerServer.js";
import { ClientGuard } from "./server/ClientGuard.js";
import { type OverloadControl } from "./server/OverloadControl.js";
import { ReadinessServer } from "./server/ReadinessServer.js";
import { ServiceTable } from "./services/ServiceTable.js";
import { EraStore } from "./store/EraStore.js";
import { ObservedStore } from "./store/ObservedStore.js";
import { StoreEras } from "./store/StoreEras.js";
import { StoreHealth } from "./store/StoreHealth.js";
import { type TableWatch } from "./store/TableWatch.js";
import { type WatchRole } from "./store/TableWatchOptions.js";
import { refusesConnections } from "./upstream/refusesConnections.js";

/** Milliseconds of the key revocation bound that are reserved for requests in flight. */
const revocationSlack = 400;
/**
 * Milliseconds. The load balancer probes once a second and removes a process after two failed probes; the rest is for
 * connections that are being opened.
 */
const defaultBalancerDelay = 2_600;
/** Milliseconds before the end of the grace period at which the remaining requests are aborted. */
const stopSlack = 400;
/** Milliseconds between two checks for open requests while the process stops. */
const stopCheckInterval = 50;

/** A gateway process, which accepts callers' requests and forwards them to targets. */
export class Gateway {
    private readonly observation: Observation;
    private readonly eras = new StoreEras();
    private readonly loop: LoopMonitor;
    private readonly knowledge: ConfigurationKnowledge;
    private readonly configuration: ConfigurationInForce;
    private readonly directory: TargetDirectory;
    private readonly suspicions: TargetSuspicions;
    private readonly paces: TargetPaces;
    private readonly crossingAllowance: CrossingAllowance;
    private readonly limits: TargetLimits;
    private readonly rests: TargetRests;
    private readonly replies: TargetReplies;
    private readonly permits: SendPermits;
    private readonly slots: SlotGrants;
    private readonly services: ServiceTable;
    private readonly crashes: CrashProtection;
    private readonly requestPath: RequestPath;
    private readonly callers: CallerServer;
    private readonly overload: OverloadControl;
    private readonly readiness: ReadinessServer;
    private readonly peers: PeerGroup;
    private readonly copies: TableCopies;
    private readonly lease: PlacementLease;
    private readonly duty: PlacementDuty;
    /** By table name. */
    private readonly watches: ReadonlyMap<string, TableWatch>;
    private hasTargetList = false;
    private readonly storeHealth: StoreHealth;
    private isStopping = false;
    private refusesNewRequests = false;
    private stopped: Promise<void> | undefined;

    constructor(private readonly options: GatewayOptions) {
        const { settings, tables, clock, logs, registry, random, isOn = allMechanismsOn } = options;
        this.observation = { logs, metrics: new GatewayMetrics(registry) };
        const { eras, observation } = this;
        const guard = new ClientGuard({ clock, settings, observation });
        this.loop = new LoopMonitor({ clock, metrics: observation.metrics, onTick: () => this.overload.adjust() });
        const observed = new ObservedStore({ store: options.store, clock, observation });
        const store = new EraStore({ store: observed, eras, observation });
        this.storeHealth = new StoreHealth(this.observation);
        const { process, dataCentre, keyRevocation } = settings;
        const own = { process, dataCentre, address: { host: settings.host, port: settings.internalPorts.first } };
        this.knowledge = new ConfigurationKnowledge({
            clock,
            random,
            store,
            eras,
            ...own,
            maxConfirmationAge: keyRevocation === undefined ? undefined : keyRevocation - revocationSlack,
            logger: logs.configuration,
            onConfirmed: () => this.requestPath.release(),
        });
        this.configuration = this.knowledge.configuration;
        this.directory = new TargetDirectory({ clock, onChange: change => this.handleTargetChange(change) });
        this.suspicions = new TargetSuspicions(clock);
        this.paces = new TargetPaces(clock);
        const gateways = () => this.peers.groupSize;
        const share = () => loadShare(this.services.headLoads(), this.peers.others.chainLoads);
        this.crossingAllowance = new CrossingAllowance({ clock, random, gateways, loadShare: share });
        this.limits = new TargetLimits({ clock, observation });
        this.rests = new TargetRests({ clock, random, observation });
        this.replies = new TargetReplies({
            limits: this.limits,
            rests: this.rests,
            directory: this.directory,
            observation,
        });
        const engines = observeEngines(options.engines, target => this.replies.recordLeaving(target));
        this.crashes = new CrashProtection({
            clock,
            store,
            eras,
            directory: this.directory,
            refusesConnections,
            observation,
            gateways,
        });
        this.peers = this.createPeerGroup(own);
        this.copies = new TableCopies({
            clock,
            random,
            address: own.address,
            eras,
            observation,
            mayRead: host => this.peers.hasLocalHost(host),
        });
        this.permits = new SendPermits({ clock, random, limits: this.limits, group: this.peers, observation });
        this.slots = new SlotGrants({
            clock,
            random,
            group: this.peers,
            chainLoad: targetId => this.peers.chainLoad(targetId),
            weight: options.organisationWeight,
            isOn: () => isOn("slot-admission"),
            observation,
        });
        this.services = new ServiceTable({
            clock,
            random,
            knownLoad: head => this.slots.knownLoad(head),
            settings,
            directory: this.directory,
            suspicions: this.suspicions,
            paces: this.paces,
            rests: this.rests,
            peerLoad: headId => this.peers.chainLoad(headId),
            engines,
            crossingAllowance: this.crossingAllowance,
            gateways,
            isOn: options.isOn,
            observation,
        });
        const bursts = new AcceptBursts();
        const router = new RequestRouter({
            clock,
            bursts,
            isOn,
            hasConfirmedPeer: () =>
                this.peers.tableAge(tables.configurationTable) < (this.configuration.maxConfirmationAge ?? Infinity),
            lag: new ConfigurationLag({
                behindFor: () => this.watches.get(tables.configurationTable)?.behindFor,
                configurationTime: settings.configurationTime,
            }),
            random: options.random,
            wire: options.wire,
            observation: this.observation,
            loop: this.loop,
            configuration: this.configuration,
            crashes: this.crashes,
            replies: this.replies,
            limits: this.limits,
            rests: this.rests,
            mayReceive: target => this.directory.mayReceive(target),
            permits: this.permits,
            slots: this.slots,
            targetListAge: () => this.directory.age,
            findService: name => this.services.find(name),
            hasRanks: service => this.services.hasRanks(service),
        });
        this.requestPath = new RequestPath({
            clock,
            loop: this.loop,
            bursts,
            isOn,
            router,
            isReady: () => this.hasServingState,
        });
        ({ callers: this.callers, overload: this.overload } = createCallerServer({
            clock,
            loop: this.loop,
            bursts,
            isOn,
            router,
            path: this.requestPath,
            observation,
            group: () => ({ members: this.peers.others.members, overloaded: this.peers.others.overloaded ?? 0 }),
            guard,
            address: settings.callers,
            listening: options.callerListener,
            refusesNewRequests: () => this.refusesNewRequests,
            maxBodyBytes: () => this.configuration.current?.limits.bodyBytes,
        }));
        this.readiness = new ReadinessServer({ clock, address: settings.readiness, isReady: () => this.isReady });
        this.lease = new PlacementLease({
            clock,
            random,
            store,
            eras,
            process: settings.process,
            incarnation: options.incarnation,
            peers: this.peers,
            logger: logs.duty,
        });
        this.duty = new PlacementDuty({
            clock,
            lease: this.lease,
            directory: this.directory,
            suspicions: this.suspicions,
            paces: this.paces,
            peers: this.peers,
            engines,
            services: () => this.configuration.current?.services ?? [],
            isOn,
            observation: this.observation,
        });
        this.watches = createTableWatches({
            gateway: options,
            store,
            eras,
            storeHealth: this.storeHealth,
            copies: this.copies,
            configuration: this.configuration,
            directory: this.directory,
            observation,
            role: () => this.watchRole,
            onChange: configuration => this.applyConfiguration(configuration),
            onConfigurationConfirmed: () => this.knowledge.noteConfirmed(),
            onTargetsConfirmed: () => {
                this.hasTargetList = true;
                this.requestPath.release();
            },
        });
    }

    /** @throws Error if an address cannot be bound; one for peers that is in use is tried for some seconds first. */
    async start(): Promise<void> {
        const { logs, settings } = this.options;
        logs.process.info({ process: settings.process, dataCentre: settings.dataCentre }, "starting");
        this.loop.start();
        this.watches.forEach(watch => void watch.run());
        this.knowledge.start();
        this.crashes.records.start();
        await Promise.all([this.readiness.start(), this.callers.start()]);
        await Promise.all([this.peers.start(), this.copies.start()]);
        this.lease.start();
        this.duty.start();
        logs.process.info({ callers: this.callers.address, readiness: this.readiness.address }, "listening");
    }

    /** The addresses that the gateway listens on, available after {@link Gateway.start}. */
    get addresses(): { readonly callers: AddressInfo; readonly readiness: AddressInfo; } {
        return { callers: this.callers.address, readiness: this.readiness.address };
    }

    /**
     * Stops gracefully: fails readiness, serves requests until the load balancer has removed this process, then ends
     * when the last answer has ended, or shortly before the grace period is over. Further calls wait for the same stop.
     */
    stop(): Promise<void> {
        this.stopped ??= this.stopOnce();
        return this.stopped;
    }

    private async stopOnce(): Promise<void> {
        const { clock, logs, settings } = this.options;
        const stoppedAt = clock.now();
        this.isStopping = true;
        logs.process.info({ open: this.callers.openRequests }, "stopping");
        this.callers.stopKeepingConnections();
        this.lease.release();
        this.duty.stop();
        await sleep(clock, this.options.balancerDelay ?? defaultBalancerDelay);
        this.callers.close();
        this.refusesNewRequests = true;
        const end = stoppedAt + settings.stopGrace - stopSlack;
        while (this.callers.isBusy && clock.now() < end) {
            await sleep(clock, stopCheckInterval);
        }
        logs.process.info({ open: this.callers.openRequests, after: Math.round(clock.now() - stoppedAt) }, "stopped");
        await this.callers.closeAll();
        this.watches.forEach(watch => watch.stop());
        this.knowledge.stop();
        this.crashes.records.stop();
        this.services.stop();
        this.peers.stop();
        this.copies.stop();
        this.loop.stop();
        this.readiness.close();
    }

    private get isReady(): boolean {
        const { keyRevocation } = this.options.settings;
        const mayTrustKeys = keyRevocation === undefined || this.configuration.confirmationAge < keyRevocation;
        const knowsSite = this.configuration.current !== undefined && this.hasTargetList && this.peers.isListening;
        return !this.isStopping && knowsSite && mayTrustKeys && !this.overload.isWithdrawn;
    }

    /** Whether requests can be authenticated and routed. A configuration in force may not be confirmed yet. */
    private get hasServingState(): boolean {
        return this.configuration.mayAcceptCredentials && this.hasTargetList;
    }

    private get watchRole(): WatchRole {
        const { isRelay, hasFollowers } = this.peers;
        return chooseWatchRole({ isRelay, hasFollowers, hasDuty: this.lease.term !== undefined });
    }

    private createPeerGroup(own: Pick<PeerGroupOptions, "process" | "dataCentre" | "address">): PeerGroup {
        const { settings, clock, logs } = this.options;
        return new PeerGroup({
            clock,
            rows: this.knowledge.rows,
            ...own,
            incarnation: this.options.incarnation,
            logger: logs.peers,
            onLost: error => this.options.onLost?.(error),
            describe: () => ({
                chainLoads: this.services.headLoads(),
                suspects: this.suspicions.listLost(),
                slowTargets: this.paces.listObserved(),
                limits: this.limits.listStatements(),
                ...this.crashes.describe(),
                dutyTerm: this.lease.isHeld ? this.lease.term : undefined,
                mayTakeDuty: this.storeHealth.isHealthy && this.lease.mayAcquire && !this.isStopping,
                isOverloaded: this.overload.isOverloaded ? true : undefined,
            }),
            words: () =>
                Object.fromEntries(
                    [...this.watches].flatMap(([table, { status }]) => status === undefined ? [] : [[table, status]]),
                ),
            knownConfiguration: () => this.knowledge.known,
            onKnownConfiguration: known => this.knowledge.hear(known),
            onTableStatus: (table, tableStatus, after, sender) => {
                if (sender.dataCentre === settings.dataCentre) {
                    this.copies.reader.noteHolder(table, sender.address, tableStatus.version);
                }
                if (this.options.isOn?.("peer-confirmations") !== false) {
                    this.watches.get(table)?.applyPeerStatus(tableStatus, after);
                }
            },
            onOther: datagram => this.permits.receive(datagram) || this.slots.receive(datagram),
            onSums: ({ slowTargets, limits, ...news }) => {
                this.slots.observe();
                this.paces.recordPeerReports(slowTargets);
                this.crashes.receive(news);
                this.limits.recordStatements(limits);
            },
        });
    }

    private handleTargetChange(change: DirectoryChange): void {
        const { id } = change.target;
        logTargetChange(this.options.logs.directory, change, this.directory.age);
        this.crashes.guard.handleTargetChange(change);
        if (change.kind === "restarted") {
            this.suspicions.clear(id);
            this.paces.forget(id);
            this.services.forget(id);
        }
    }

    private applyConfiguration(configuration: Configuration): void {
        this.callers.applyLimits(configuration.limits);
        this.services.add(configuration.services, configuration.routes);
    }
}
