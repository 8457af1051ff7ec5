/** Options of {@link ConfigurationLag}. */
export interface ConfigurationLagOptions {
    /** Milliseconds since this process learned of a newer version; undefined if it knows of none. */
    readonly behindFor: () => number | undefined;
    /**
     * Milliseconds after the store has accepted a version until it must be in force; undefined if there is no bound.
     */
    readonly configurationTime: number | undefined;
}

/** Milliseconds from the acceptance of a version until a process in contact learns of it, through relays if need be. */
const noticeTime = 600;
/** Milliseconds of the bound that remain for a request that has been received until its target handles it. */
const handlingTime = 300;

/**
 * Determines whether the configuration in force may still be used. A process that knows of no newer version keeps
 * serving when the store is away: refusing would help nobody.
 */
export class ConfigurationLag {
    constructor(private readonly options: ConfigurationLagOptions) {}

    /** Whether a newer version exists and must be in force by now, so that any request may be one that it concerns. */
    get isTooLong(): boolean {
        const { behindFor, configurationTime = Infinity } = this.options;
        return (behindFor() ?? 0) > configurationTime - noticeTime - handlingTime;
    }
}
