import { type Configuration } from "@waxwingspar/config";
import { type Caller } from "../callers/Authenticator.js";
import { type Exchange } from "../http/Exchange.js";
import { mayUse } from "./findModel.js";

/** Answers GET /v1/models: the models, and their adapters, that the caller may use. @internal */
export function modelsRoute(configuration: Configuration, exchange: Exchange, caller: Caller): void {
    const models = configuration.list("model").map(model => model.name);
    const adapters = configuration.list("adapter").map(({ name, spec }) => `${spec.model}:${name}`);
    const data = [...models, ...adapters]
        .filter(id => mayUse(caller, id.split(":", 1)[0] ?? id))
        .map(id => ({ id, object: "model", created: 0, owned_by: "waxwingspar" }));
    exchange.sendJson(200, { object: "list", data });
}
