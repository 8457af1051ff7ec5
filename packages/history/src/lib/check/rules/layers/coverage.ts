import { type LayerRun, type Reuse, type Span } from "./LayerRun.js";

/** Layers from `first` to `last` at positions from `from` to `to` (excluded). @internal */
export interface Area extends Span {
    readonly first: number;
    readonly last: number;
    /** The targets that ran these layers, at these or other positions. */
    readonly targets: readonly string[];
    /** For missing areas: whether the same incarnation ran later positions, so that no lost line explains the gap. */
    readonly isSkipped: boolean;
}

/** @internal */
export interface LayerFaults {
    readonly missing: Area[];
    readonly repeated: Area[];
    /** Layers that the model does not have. */
    readonly nonexistent: Area[];
}

interface CoveredSpan extends Span {
    readonly target: string;
}

/**
 * Finds the layers and positions that did not run, or ran more than once.
 *
 * @param layerRuns - The layers that ran.
 * @param reuses - The KV cache that was reused. All stages of an attempt start at the same position, so a stage that
 * has more cached positions than the others computes the excess again.
 * @param layers - Number of layers of the model; undefined if not known, and then no layer is reported as missing.
 * @param positions - Number of leading positions that every layer had to run on.
 * @internal
 */
export function findFaults(
    layerRuns: readonly LayerRun[],
    reuses: readonly Reuse[],
    layers: number | undefined,
    positions: number,
): LayerFaults {
    const faults: LayerFaults = { missing: [], repeated: [], nonexistent: [] };
    const start = Math.min(...layerRuns.map(layerRun => layerRun.from));
    const bounds = findLayerBounds(layerRuns, reuses, layers);
    for (const [index, first] of bounds.entries()) {
        const next = bounds[index + 1];
        if (next === undefined) {
            break;
        }
        const last = next - 1;
        const coveringRuns = layerRuns.filter(layerRun => layerRun.first <= first && last <= layerRun.last);
        const coveredSpans = collectCoveredSpans(coveringRuns, reuses, start, { first, last });
        const targets = [...new Set(coveredSpans.map(({ target }) => target))];
        if (layers !== undefined && first >= layers) {
            coveredSpans.forEach(({ from, to }) =>
                faults.nonexistent.push({ first, last, from, to, targets, isSkipped: false })
            );
            continue;
        }
        const { missing, repeated } = sweep(coveredSpans, layers === undefined ? 0 : positions);
        const isSkipped = (span: Span) => coveringRuns.some(layerRun => span.to <= layerRun.to);
        faults.repeated.push(...repeated.map(span => ({ first, last, ...span, targets, isSkipped: false })));
        faults.missing.push(...missing.map(span => ({ first, last, ...span, targets, isSkipped: isSkipped(span) })));
    }
    return faults;
}

/** Returns the first layer of each range and the layer after its last one, in ascending order. */
function findLayerBounds(
    layerRuns: readonly LayerRun[],
    reuses: readonly Reuse[],
    layers: number | undefined,
): number[] {
    const bounds = new Set([...layerRuns, ...reuses].flatMap(({ first, last }) => [first, last + 1]));
    bounds.add(0);
    if (layers !== undefined) {
        bounds.add(layers);
    }
    return [...bounds].sort((a, b) => a - b);
}

/** Returns the spans on which the given layers ran, in order. Reuse counts up to the start of the attempt. */
function collectCoveredSpans(
    coveringRuns: readonly LayerRun[],
    reuses: readonly Reuse[],
    start: number,
    { first, last }: { readonly first: number; readonly last: number; },
): CoveredSpan[] {
    const coveredSpans = coveringRuns.flatMap(({ spans, target }) => spans.map(span => ({ ...span, target })));
    const reused = new Map<string, number>();
    for (const { target, first: from, last: to, count } of reuses) {
        if (from <= first && last <= to) {
            reused.set(target, Math.max(count, reused.get(target) ?? 0));
        }
    }
    for (const [target, count] of reused) {
        coveredSpans.push({ from: 0, to: Math.min(count, start), target });
    }
    return coveredSpans.filter(({ from, to }) => from < to).sort((a, b) => a.from - b.from);
}

/** Walks over sorted spans and finds gaps below a limit, and overlaps anywhere. */
function sweep(coveredSpans: readonly Span[], limit: number): { missing: Span[]; repeated: Span[]; } {
    const missing: Span[] = [];
    const repeated: Span[] = [];
    let reached = 0;
    for (const { from, to } of coveredSpans) {
        if (from > reached && reached < limit) {
            missing.push({ from: reached, to: Math.min(from, limit) });
        }
        if (from < reached) {
            repeated.push({ from, to: Math.min(to, reached) });
        }
        reached = Math.max(reached, to);
    }
    if (reached < limit) {
        missing.push({ from: reached, to: limit });
    }
    return { missing, repeated };
}
