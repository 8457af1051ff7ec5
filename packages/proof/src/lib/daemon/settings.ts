import { type LinkCredentials } from "@waxwingspar/transport";

/** @internal */
export interface Place {
    readonly host: string;
    readonly port: number;
}

/** What the settings files of agents and entries have in common, as docs/SETTINGS.md lists it. @internal */
export interface DaemonSettings {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly links: Place;
    readonly operators: Place;
    readonly credentials: LinkCredentials;
    readonly platform: { readonly origin: string; readonly readsPerSecond: number; readonly writesPerSecond: number; };
    readonly seeds: readonly Place[];
    readonly log: { readonly level: "debug" | "info" | "warn" | "error" | "silent"; };
    readonly history: { readonly file: string; };
}

/** @internal */
export interface AgentFile extends DaemonSettings {
    readonly role: "agent";
    readonly engine: { readonly origin: string; };
    readonly slots: number;
    readonly service?: { readonly name: string; readonly baseUrl: string; };
}

/** @internal */
export interface EntryFile extends DaemonSettings {
    readonly role: "entry";
    readonly callers: Place;
    readonly anonymousOrganisation: string;
    readonly limits: { readonly stopLead: number; };
}
