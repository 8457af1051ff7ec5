/**
 * The waxwingspar command: daemons, local site, demo, bench, checks.
 *
 * @packageDocumentation
 */
export {};
