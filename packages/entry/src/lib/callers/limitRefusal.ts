import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type Exchange } from "../http/Exchange.js";

/**
 * The refusal of a request that exceeds its organisation's limit. The limit is checked before any claim is looked up, so
 * an earlier request with the same idempotency key may be running: a request with a key is not reported as not run.
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
