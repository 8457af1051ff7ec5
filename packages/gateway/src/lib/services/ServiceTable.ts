import { type Clock, type Random } from "@waxwingspar/utils";
import { ChainService, type ChainServiceOptions } from "../chains/ChainService.js";
import { type Route, type Service } from "../configuration/Configuration.js";
import { listRankedServices } from "../configuration/listRankedServices.js";
import { smallestEventIntervals } from "../configuration/smallestEventIntervals.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type GatewaySettings } from "../GatewaySettings.js";
import { RetryBudget } from "../requests/RetryBudget.js";
import { ServicePicker, type ServicePickerOptions } from "./ServicePicker.js";

/** Components that serve the requests for one service. */
export interface ServiceParts {
    readonly picker: ServicePicker;
    readonly chains: ChainService | undefined;
    readonly budget: RetryBudget;
}

type ForwardedOption =
    | "suspicions"
    | "paces"
    | "rests"
    | "peerLoad"
    | "engines"
    | "crossingAllowance"
    | "isOn"
    | "observation";

/** Options of {@link ServiceTable}. */
export interface ServiceTableOptions extends Pick<ChainServiceOptions, ForwardedOption> {
    readonly clock: Clock;
    readonly random: Random;
    readonly directory: TargetDirectory;
    /** Number of requests of all gateways on a plain target; see {@link ServicePickerOptions.knownLoad}. */
    readonly knownLoad?: ServicePickerOptions["knownLoad"];
    readonly settings: Pick<GatewaySettings, "dataCentre" | "retryWindow" | "retryShare" | "retryReserve">;
    /** Number of gateways that share the reserve of the retry budget. */
    readonly gateways: () => number;
}

/** The services of all configurations so far. A service keeps its state when the configuration changes. */
export class ServiceTable {
    private readonly parts = new Map<string, ServiceParts>();
    /** The smallest limit on the interval between events of all routes to a service, in milliseconds. */
    private eventIntervals: ReadonlyMap<string, number> = new Map();
    private rankedServices: ReadonlySet<string> = new Set();

    constructor(private readonly options: ServiceTableOptions) {}

    find(name: string): ServiceParts | undefined {
        return this.parts.get(name);
    }

    /**
     * Adds the services that are new.
     *
     * @param routes - All routes of the configuration, whose limits replace earlier ones.
     */
    add(services: readonly Service[], routes: readonly Route[]): void {
        this.eventIntervals = smallestEventIntervals(routes);
        this.rankedServices = listRankedServices(routes);
        for (const service of services) {
            if (!this.parts.has(service.name)) {
                this.parts.set(service.name, this.create(service));
            }
        }
    }

    /** Whether the routes of a service have different priorities. */
    hasRanks(service: string): boolean {
        return this.rankedServices.has(service);
    }

    /** Number of requests of this gateway in flight, by the first target of their chain. */
    headLoads(): Record<string, number> {
        return Object.fromEntries([...this.parts.values()].flatMap(({ chains }) => chains?.headLoads() ?? []));
    }

    /** Discards what chains know of a target, because it has restarted. */
    forget(targetId: string): void {
        this.parts.forEach(({ chains }) => chains?.forget(targetId));
    }

    stop(): void {
        this.parts.forEach(({ chains }) => chains?.stop());
    }

    private create({ name, engine }: Service): ServiceParts {
        const { clock, random, settings, directory, knownLoad, gateways, isOn } = this.options;
        const { dataCentre } = settings;
        return {
            picker: new ServicePicker({ clock, random, service: name, dataCentre, directory, knownLoad, isOn }),
            chains: engine === undefined
                ? undefined
                : new ChainService({
                    ...this.options,
                    service: name,
                    dataCentre,
                    engine,
                    maxEventInterval: () => this.eventIntervals.get(name),
                }),
            budget: new RetryBudget({
                clock,
                window: settings.retryWindow,
                share: settings.retryShare,
                reserve: settings.retryReserve,
                gateways,
            }),
        };
    }
}
