/**
 * Merges options with their defaults. An option that is set to undefined also gets its default.
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
