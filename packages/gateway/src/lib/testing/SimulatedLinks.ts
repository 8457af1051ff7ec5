import { type Clock } from "@waxwingspar/utils";

/** The link of one gateway. */
export interface SimulatedLink {
    /** Bytes a millisecond. */
    readonly rate: number;
}

/** A transfer of one reply over a link. */
export interface SimulatedTransfer {
    readonly link: SimulatedLink;
    readonly bytes: number;
    readonly onProgress: (bytes: number) => void;
    readonly onEnd: () => void;
}

interface RunningTransfer extends SimulatedTransfer {
    left: number;
    /** Whether it brings nothing any more, although its connection stays open. */
    isSilent: boolean;
}

/** Milliseconds between two steps of the transfers. */
const step = 10;

/** Links of gateways to one sender, whose own link they share equally. */
export class SimulatedLinks {
    private readonly transfers = new Set<RunningTransfer>();

    /** @param senderRate - Bytes a millisecond of the sender's link. */
    constructor(private readonly clock: Clock, private readonly senderRate: number) {
        this.schedule();
    }

    /** @returns A function that ends the transfer: the sender stops as soon as its receiver closes the connection. */
    start(transfer: SimulatedTransfer): () => void {
        const running = { ...transfer, left: transfer.bytes, isSilent: false };
        this.transfers.add(running);
        return () => this.transfers.delete(running);
    }

    /** Makes all running transfers fall silent. */
    silence(): void {
        this.transfers.forEach(transfer => {
            transfer.isSilent = true;
        });
    }

    private schedule(): void {
        this.clock.schedule(() => {
            this.advance();
            this.schedule();
        }, step);
    }

    private advance(): void {
        const moving = [...this.transfers].filter(({ isSilent }) => !isSilent);
        const onLink = new Map<SimulatedLink, number>();
        moving.forEach(({ link }) => onLink.set(link, (onLink.get(link) ?? 0) + 1));
        for (const transfer of moving) {
            const { link, onProgress, onEnd } = transfer;
            const rate = Math.min(this.senderRate / moving.length, link.rate / (onLink.get(link) ?? 1));
            transfer.left -= rate * step;
            onProgress(rate * step);
            if (transfer.left <= 0) {
                this.transfers.delete(transfer);
                onEnd();
            }
        }
    }
}
