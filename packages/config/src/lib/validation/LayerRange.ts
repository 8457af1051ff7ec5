/** A range of layers, both ends included. @internal */
export interface LayerRange {
    readonly first: number;
    readonly last: number;
}
