/** The model of the site, and the layer ranges of its stages. @internal */
export const siteModel = { model: "demo", version: "v1", layers: 12 } as const;

/** @internal */
export const stages = [{ first: 0, last: 3 }, { first: 4, last: 7 }, { first: 8, last: 11 }] as const;

/** The organisation for which the callers act. @internal */
export const organisation = "workshop";
