import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type Exchange } from "../http/Exchange.js";

/**
 * The refusal of a request beyond its organisation's limit. It comes before any claim is looked up, so of a request with
 * a key only this copy is known not to run: an earlier one may be running. That is not reported as not run.
 *
 * @internal
 */
export function limitRefusal(exchange: Exchange, cause: Failure): Failure {
    if (exchange.header("idempotency-key") === undefined) {
        return cause;
    }
    const message = `${cause.message}; an earlier request with this key was not looked up`;
    return failure(requestCodes.limitReachedWithKey, message, { retryAfter: cause.retryAfter });
}
