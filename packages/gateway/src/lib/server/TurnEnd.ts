/** Runs a callback after the input of the present turn of the event loop has been handled. */
export type AfterInput = (callback: () => void) => void;

/** Calls a function at the end of each turn of the event loop in which it is expected to. */
export class TurnEnd {
    private isExpected = false;

    constructor(
        private readonly onTurnEnd: () => void,
        private readonly afterInput: AfterInput = setImmediate,
    ) {}

    /** Makes the function be called at the end of this turn; within the function, at the end of the next one. */
    expect(): void {
        if (!this.isExpected) {
            this.isExpected = true;
            this.afterInput(() => {
                this.isExpected = false;
                this.onTurnEnd();
            });
        }
    }
}
