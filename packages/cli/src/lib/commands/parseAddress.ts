import { type Address } from "@waxwingspar/transport";
import { InvalidArgumentError } from "commander";
import { isIP } from "node:net";

const maxPort = 65_535;

/**
 * Parses `host:port` or `[host]:port`, where host is an IP address.
 *
 * @throws InvalidArgumentError for anything else.
 * @internal
 */
export function parseAddress(text: string): Address {
    const [, bracketed, plain, digits] = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text) ?? [];
    const host = bracketed ?? plain ?? "";
    const port = Number(digits);
    if (isIP(host) === 0 || port > maxPort) {
        throw new InvalidArgumentError("expected an IP address and a port, such as 127.0.0.1:8080");
    }
    return { host, port };
}
