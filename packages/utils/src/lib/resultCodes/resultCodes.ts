import { platformCodes } from "./platformCodes.js";
import { requestCodes } from "./requestCodes.js";
import { resourceCodes } from "./resourceCodes.js";
import { type ResultCode } from "./ResultCode.js";
import { transportCodes } from "./transportCodes.js";

/**
 * Every result code, in numeric order.
 *
 * @public
 */
export const resultCodes: readonly ResultCode[] = [
    requestCodes,
    resourceCodes,
    platformCodes,
    transportCodes,
].flatMap(table => Object.values<ResultCode>(table)).sort((a, b) => a.number - b.number);

const byNumber = new Map(resultCodes.map(code => [code.number, code]));

/**
 * Finds a result code by its number.
 *
 * @param number - The number, as received in a message.
 * @returns The code, or undefined for a number that this version does not know.
 * @public
 */
export function findResultCode(number: number): ResultCode | undefined {
    return byNumber.get(number);
}
