import { type Lane, type Reuse, type Span } from "./Lane.js";

/** Layers from `first` to `last` at positions from `from` to `to` (excluded). @internal */
export interface Area extends Span {
    readonly first: number;
    readonly last: number;
    /** The targets that ran these layers at other positions, or at these. */
    readonly targets: readonly string[];
    /** For missing areas: whether the same incarnation went on behind them, so that no lost line can explain them. */
    readonly passedOver: boolean;
}

/** @internal */
export interface LayerFaults {
    readonly missing: Area[];
    readonly twice: Area[];
    /** Layers that the model does not have. */
    readonly beyond: Area[];
}

interface Piece extends Span {
    readonly target: string;
}

/**
 * Finds the layers and positions that ran not at all or more than once.
 *
 * @param lanes - What ran.
 * @param reuses - What was taken over. All stages of an attempt start at one position, so that a stage which has more
 * than the others runs the rest of it again.
 * @param layers - How many layers the model has; undefined when not known, and then nothing can be missing.
 * @param positions - How many leading positions every layer had to run on.
 * @internal
 */
export function findFaults(
    lanes: readonly Lane[],
    reuses: readonly Reuse[],
    layers: number | undefined,
    positions: number,
): LayerFaults {
    const faults: LayerFaults = { missing: [], twice: [], beyond: [] };
    const start = Math.min(...lanes.map(lane => lane.from));
    const bounds = layerBounds(lanes, reuses, layers);
    for (const [index, first] of bounds.entries()) {
        const next = bounds[index + 1];
        if (next === undefined) {
            break;
        }
        const last = next - 1;
        const covering = lanes.filter(lane => lane.first <= first && last <= lane.last);
        const pieces = piecesOf(covering, reuses, start, { first, last });
        const targets = [...new Set(pieces.map(({ target }) => target))];
        if (layers !== undefined && first >= layers) {
            pieces.forEach(({ from, to }) => faults.beyond.push({ first, last, from, to, targets, passedOver: false }));
            continue;
        }
        const { missing, twice } = sweep(pieces, layers === undefined ? 0 : positions);
        const passedOver = (span: Span) => covering.some(lane => span.to <= lane.to);
        faults.twice.push(...twice.map(span => ({ first, last, ...span, targets, passedOver: false })));
        faults.missing.push(...missing.map(span => ({ first, last, ...span, targets, passedOver: passedOver(span) })));
    }
    return faults;
}

/** The layers at which some range begins or ends, in order. */
function layerBounds(lanes: readonly Lane[], reuses: readonly Reuse[], layers: number | undefined): number[] {
    const bounds = new Set([...lanes, ...reuses].flatMap(({ first, last }) => [first, last + 1]));
    bounds.add(0);
    if (layers !== undefined) {
        bounds.add(layers);
    }
    return [...bounds].sort((a, b) => a - b);
}

/** The pieces that cover some layers, in order; what was reused counts up to where the attempt starts. */
function piecesOf(
    covering: readonly Lane[],
    reuses: readonly Reuse[],
    start: number,
    { first, last }: { readonly first: number; readonly last: number; },
): Piece[] {
    const pieces = covering.flatMap(({ spans, target }) => spans.map(span => ({ ...span, target })));
    const reused = new Map<string, number>();
    for (const { target, first: from, last: to, count } of reuses) {
        if (from <= first && last <= to) {
            reused.set(target, Math.max(count, reused.get(target) ?? 0));
        }
    }
    for (const [target, count] of reused) {
        pieces.push({ from: 0, to: Math.min(count, start), target });
    }
    return pieces.filter(({ from, to }) => from < to).sort((a, b) => a.from - b.from);
}

/** Walks over sorted pieces and finds holes below a limit, and overlaps anywhere. */
function sweep(pieces: readonly Span[], limit: number): { missing: Span[]; twice: Span[]; } {
    const missing: Span[] = [];
    const twice: Span[] = [];
    let reached = 0;
    for (const { from, to } of pieces) {
        if (from > reached && reached < limit) {
            missing.push({ from: reached, to: Math.min(from, limit) });
        }
        if (from < reached) {
            twice.push({ from, to: Math.min(to, reached) });
        }
        reached = Math.max(reached, to);
    }
    if (reached < limit) {
        missing.push({ from: reached, to: limit });
    }
    return { missing, twice };
}
