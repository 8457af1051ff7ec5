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

/** The number of tokens that a model can sample; their IDs range from 0 up to this number, exclusive. @public */
export const vocabularySize = beginnings.length * middles.length * endings.length;

/** The token that ends an answer. It is part of the answer. @public */
export const endToken = 0;

/** The token that starts every prompt, before the tokens of its text. */
const beginOfSequenceToken = vocabularySize;

/** The IDs of prompt tokens are above those of the vocabulary and below this number. */
const tokenIdLimit = 0x7fff_0000;

const piecePattern = /\s*[\p{L}\p{N}]{1,8}|\s*[^\s\p{L}\p{N}]|\s+/gu;

/**
 * Returns the text of a token that the model has sampled.
 *
 * @param token - The token ID, below {@link vocabularySize}.
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
 * Splits a text into word pieces and derives a token ID from the hash of each. The result starts with a
 * beginning-of-sequence token, so that an empty text has one token.
 *
 * @public
 */
export function tokenizeText(text: string): number[] {
    const pieces = text.match(piecePattern) ?? [];
    return [beginOfSequenceToken, ...pieces.map(pieceId)];
}

function pieceId(piece: string): number {
    return beginOfSequenceToken + 1 + hashText(piece) % (tokenIdLimit - beginOfSequenceToken - 1);
}
