/**
 * The waxwingspar command: daemons, local site, demo, benchmark and checks.
 *
 * @packageDocumentation
 */
export {};
