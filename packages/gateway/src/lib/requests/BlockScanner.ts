const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const dataField = Buffer.from("data:");
/** Length of the field's name, which may also stand alone on a line. */
const nameLength = dataField.length - 1;

/**
 * Finds where the events of a `text/event-stream` end. It reads each byte once and keeps only its state, so that the
 * stream may be split into chunks anywhere.
 *
 * A blank line ends an event only if the event has data. Clients do not dispatch a block without any, so comments, lone
 * ids and blank lines belong to the event that follows them.
 */
export class BlockScanner {
    /** Bytes of the current line, without a carriage return at its end. */
    private lineLength = 0;
    /** Whether the last byte that was read is a carriage return, which may belong to the end of the line. */
    private hasReturn = false;
    /** Number of bytes at the start of the current line that are those of the data field. */
    private matched = 0;
    private hasData = false;
    private isOpen = false;

    /** Whether a line, or a part of one, has been read since the last blank line. */
    get isInBlock(): boolean {
        return this.isOpen || this.lineLength > 0;
    }

    /** @returns The position after the event that ends first at or after `start`, or -1. */
    scan(bytes: Buffer, start: number): number {
        let from = start;
        for (let at = bytes.indexOf(lineFeed, from); at !== -1; at = bytes.indexOf(lineFeed, from)) {
            this.readPart(bytes, from, at);
            from = at + 1;
            if (this.endLine()) {
                return from;
            }
        }
        this.readPart(bytes, from, bytes.length);
        return -1;
    }

    private readPart(bytes: Buffer, start: number, end: number): void {
        if (start === end) {
            return;
        }
        // A carriage return that no line feed follows is a byte of the line like any other.
        this.lineLength += this.hasReturn ? 1 : 0;
        for (let at = start; at < end && this.matched < dataField.length; at++) {
            if (this.matched !== this.lineLength + at - start || bytes[at] !== dataField[this.matched]) {
                break;
            }
            this.matched++;
        }
        this.hasReturn = bytes[end - 1] === carriageReturn;
        this.lineLength += end - start - (this.hasReturn ? 1 : 0);
    }

    /** @returns Whether the line that ends is a blank one that ends an event. */
    private endLine(): boolean {
        const { lineLength, matched } = this;
        const isBlank = lineLength === 0;
        const isEnd = isBlank && this.hasData;
        const isData = matched === dataField.length || (matched === nameLength && lineLength === nameLength);
        this.hasData = !isEnd && (this.hasData || isData);
        this.isOpen = !isBlank;
        this.lineLength = 0;
        this.hasReturn = false;
        this.matched = 0;
        return isEnd;
    }
}
