import { hashText } from "./hash.js";

const beginnings = [
    "ba",
    "ce",
    "di",
    "fo",
    "gu",
    "ha",
    "je",
    "ki",
    "lo",
    "mu",
    "na",
    "pe",
    "ri",
    "so",
    "tu",
    "va",
];
const middles = ["lan", "mer", "nis", "rol"];
const endings = ["da", "ke", "mi", "no", "pu", "ra", "se", "ti"];

/** How many tokens a model can draw; token ids run from 0 to this number, excluded. @public */
export const vocabularySize = beginnings.length * middles.length * endings.length;

/** The token with which the model ends an answer. It is part of the answer. @public */
export const endToken = 0;

/** The token that stands before the text of every prompt. */
const beginToken = vocabularySize;

/** Ids of prompt pieces lie above those of the vocabulary and below this number. */
const pieceIds = 0x7fff_0000;

const piecePattern = /\s*[\p{L}\p{N}]{1,8}|\s*[^\s\p{L}\p{N}]|\s+/gu;

/**
 * The text of a token that the model has drawn.
 *
 * @param token - The id, below {@link vocabularySize}.
 * @public
 */
export function tokenText(token: number): string {
    if (token === endToken) {
        return ".";
    }
    const ending = endings[token % endings.length] ?? "";
    const middle = middles[Math.floor(token / endings.length) % middles.length] ?? "";
    const beginning = beginnings[Math.floor(token / endings.length / middles.length) % beginnings.length] ?? "";
    return ` ${beginning}${middle}${ending}`;
}

/**
 * Splits a text into word pieces and gives each an id by its hash. The first token stands for the beginning, so that
 * an empty text has a token as well.
 *
 * @public
 */
export function tokenizeText(text: string): number[] {
    const pieces = text.match(piecePattern) ?? [];
    return [beginToken, ...pieces.map(pieceId)];
}

function pieceId(piece: string): number {
    return beginToken + 1 + hashText(piece) % (pieceIds - beginToken - 1);
}
