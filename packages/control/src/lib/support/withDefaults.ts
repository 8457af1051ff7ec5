/**
 * Fills in the options that were left out, also those that were set to undefined.
 *
 * @internal
 */
export function withDefaults<Options extends object, Defaults extends object>(
    defaults: Defaults,
    options: Options,
): Defaults & Options {
    const set = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
    return { ...defaults, ...set } as Defaults & Options;
}
