import { type Configuration, type Kind, type Resource, StaticConfiguration } from "@waxwingspar/config";
import { type Clock } from "@waxwingspar/utils";

/** The resources that were accepted at some time. @internal */
export interface PastRevision {
    readonly at: number;
    readonly revision: number;
    readonly resources: readonly Resource[];
}

/** The configuration of a process that lags by some milliseconds. Its revision never decreases. @internal */
export class LaggedConfiguration implements Configuration {
    private readonly current = new StaticConfiguration();
    private applied = 0;

    constructor(
        private readonly clock: Clock,
        private readonly history: readonly PastRevision[],
        private readonly lag: () => number,
    ) {}

    get revision(): number {
        this.refresh();
        return this.applied;
    }

    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined {
        return this.refresh().get(kind, name);
    }

    list<K extends Kind>(kind: K): readonly Resource<K>[] {
        return this.refresh().list(kind);
    }

    onChange(): () => void {
        return () => undefined;
    }

    private refresh(): StaticConfiguration {
        const known = this.history.findLast(({ at }) => at <= this.clock.now() - this.lag()) ?? this.history[0];
        if (known !== undefined && known.revision > this.applied) {
            this.applied = known.revision;
            this.current.set(known.resources);
        }
        return this.current;
    }
}
