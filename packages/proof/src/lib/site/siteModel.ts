/** The model of the site. @internal */
export const siteModel = { model: "demo", version: "v1", layers: 12 } as const;

/** The layer range of each stage of the model. @internal */
export const stages = [{ first: 0, last: 3 }, { first: 4, last: 7 }, { first: 8, last: 11 }] as const;

/** The organisation of the callers. @internal */
export const organisation = "workshop";
