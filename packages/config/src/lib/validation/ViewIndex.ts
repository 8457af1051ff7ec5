import { type Resource } from "../resources/Resource.js";
import { type LayerRange } from "./LayerRange.js";
import { type ResourceView } from "./ResourceFailure.js";

/**
 * Indexes over all resources of a view. They are built once per view, so that a change of thousands of resources is
 * checked in linear time.
 *
 * @internal
 */
export class ViewIndex {
    private static readonly indexes = new WeakMap<ResourceView, ViewIndex>();
    /** Whether there is a target that neither holds pinned layers nor runs a service. */
    readonly hasFreeTarget: boolean;
    private readonly byAddress = new Map<string, string[]>();
    private readonly byToken = new Map<string, string[]>();
    private readonly pinned = new Map<string, LayerRange[]>();

    private constructor(view: ResourceView) {
        const targets = view.list("target");
        this.hasFreeTarget = targets.some(({ spec }) => spec.holds.length === 0 && spec.service === undefined);
        for (const target of targets) {
            append(this.byAddress, addressOf(target), target.name);
            target.spec.holds.forEach(held => append(this.pinned, `${held.model}/${held.version}`, held));
        }
        view.list("credential").forEach(one => append(this.byToken, one.spec.tokenHash, one.name));
        this.pinned.forEach(ranges => ranges.sort((a, b) => a.first - b.first));
    }

    /** Returns the cached index of a view. The view must not change any more. */
    static of(view: ResourceView): ViewIndex {
        const index = ViewIndex.indexes.get(view) ?? new ViewIndex(view);
        ViewIndex.indexes.set(view, index);
        return index;
    }

    /** Finds the name of another target with the same address. */
    findSameAddress(target: Resource<"target">): string | undefined {
        return this.byAddress.get(addressOf(target))?.find(name => name !== target.name);
    }

    /** Finds the name of another credential with the same token. */
    findSameToken(credential: Resource<"credential">): string | undefined {
        return this.byToken.get(credential.spec.tokenHash)?.find(name => name !== credential.name);
    }

    /** All ranges of a model version that operators pinned, sorted by first layer. */
    pins(model: string, version: string): readonly LayerRange[] {
        return this.pinned.get(`${model}/${version}`) ?? [];
    }
}

function addressOf({ spec }: Resource<"target">): string {
    return `${spec.host} ${spec.port}`;
}

function append<T>(map: Map<string, T[]>, key: string, value: T): void {
    const values = map.get(key);
    if (values === undefined) {
        map.set(key, [value]);
    }
    else {
        values.push(value);
    }
}
