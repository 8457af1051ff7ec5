import { hash } from "node:crypto";
import { isIP } from "node:net";
import { type ConnectionOptions, type TlsOptions } from "node:tls";
import { z } from "zod";

/** The minimum length of a shared secret, in characters; 32 hexadecimal digits are 128 bits. */
const minSecret = 32;

/**
 * How links are authenticated. Every process of a site shares the same keys.
 *
 * - `keys`: TLS with a pre-shared key. The first key opens links; all keys are accepted. To rotate: add the new key
 *   after the old one on every host, then put it first on every host, then remove the old one.
 * - `insecure`: plaintext, on loopback addresses only.
 *
 * @public
 */
export const linkCredentialsSchema = z.union([
    z.strictObject({
        keys: z.array(z.strictObject({
            id: z.string().min(1).max(64).describe("Names the key; it travels in the clear."),
            secret: z.string().min(minSecret).describe("The shared secret: random text, the same on every process."),
        })).min(1).describe("The first key opens links; each of them is accepted."),
    }),
    z.strictObject({ insecure: z.literal(true).describe("Plaintext, on loopback addresses only, instead of keys.") }),
]);

/**
 * Pre-shared keys of links.
 *
 * @public
 */
export type LinkCredentials = z.infer<typeof linkCredentialsSchema>;

/**
 * Cipher suites with a pre-shared key and forward secrecy: they agree on a new key for each connection, so that a
 * pre-shared key that leaks later does not decrypt recorded traffic.
 */
const ciphers = "ECDHE-PSK-CHACHA20-POLY1305:ECDHE-PSK-AES256-CBC-SHA384:ECDHE-PSK-AES128-CBC-SHA256";

const protocol = { ciphers, minVersion: "TLSv1.2", maxVersion: "TLSv1.2" } as const;

/**
 * The TLS options of a server, or undefined for plaintext.
 *
 * @internal
 */
export function serverTlsOptions(credentials: LinkCredentials): TlsOptions | undefined {
    if ("insecure" in credentials) {
        return undefined;
    }
    const secrets = new Map(credentials.keys.map(key => [key.id, deriveKey(key.secret)]));
    return { ...protocol, pskCallback: (_socket, identity) => secrets.get(identity) ?? null };
}

/**
 * The TLS options of a client, or undefined for plaintext.
 *
 * @internal
 */
export function clientTlsOptions(credentials: LinkCredentials): ConnectionOptions | undefined {
    if ("insecure" in credentials) {
        return undefined;
    }
    const [key] = credentials.keys;
    if (key === undefined) {
        throw new Error("expected at least one key in the credentials, got none");
    }
    const psk = deriveKey(key.secret);
    return {
        ...protocol,
        pskCallback: () => ({ psk, identity: key.id }),
        // The server authenticates with the pre-shared key; there is no certificate to check.
        checkServerIdentity: () => undefined,
    };
}

/**
 * Returns whether these credentials may be used on an address.
 *
 * @internal
 */
export function mayUse(credentials: LinkCredentials, host: string): boolean {
    return !("insecure" in credentials) || isLoopback(host);
}

function isLoopback(host: string): boolean {
    return host === "::1" || (isIP(host) === 4 && host.startsWith("127."));
}

function deriveKey(secret: string): Buffer {
    return Buffer.from(hash("sha256", secret, "hex"), "hex");
}
