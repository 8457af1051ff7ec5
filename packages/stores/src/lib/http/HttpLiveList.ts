import { type Outcome } from "@waxwingspar/utils";
import { type LiveHost, type LiveList } from "../LiveList.js";
import { type PlatformConnection } from "./PlatformConnection.js";

/**
 * The live list over HTTP.
 *
 * @public
 */
export class HttpLiveList implements LiveList {
    constructor(private readonly connection: PlatformConnection) {}

    read(): Promise<Outcome<LiveHost[]>> {
        return this.connection.call("/live/read", {});
    }
}
