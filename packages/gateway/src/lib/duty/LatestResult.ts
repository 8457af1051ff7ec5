/** Keeps the result of a computation until its inputs change, since most planning cycles see the same targets. */
export class LatestResult<T> {
    private inputs: readonly unknown[] = [];
    private result: T | undefined;

    /** @param inputs - All that the result depends on, compared by identity. */
    get(inputs: readonly unknown[], compute: () => T): T {
        const isSame = inputs.length === this.inputs.length
            && inputs.every((input, index) => Object.is(input, this.inputs[index]));
        if (!isSame || this.result === undefined) {
            this.inputs = inputs;
            this.result = compute();
        }
        return this.result;
    }
}
