import { type Outcome } from "@waxwingspar/utils";
import { type WeightStore } from "../WeightStore.js";
import { type PlatformConnection } from "./PlatformConnection.js";

/**
 * The weight store over HTTP.
 *
 * @public
 */
export class HttpWeightStore implements WeightStore {
    constructor(private readonly connection: PlatformConnection) {}

    size(model: string, version: string, first: number, last: number): Promise<Outcome<number>> {
        return this.connection.call("/weights/size", { model, version, first, last });
    }

    rate(): Promise<Outcome<number>> {
        return this.connection.call("/weights/rate", {});
    }
}
