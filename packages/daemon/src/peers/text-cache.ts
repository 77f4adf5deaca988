/**
 * Texts of immutable objects that are encoded several times within a short time. The newest ones are kept, up to a total length, so that
 * a long-lived object is not held twice.
 */

/** An object with a JSON text. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A cache of texts. */
export type TextCache = {
	/** Returns the text of an object, which must not change. */
	readonly encode: (value: JsonObject) => string;
	/** The total length of the kept texts, in UTF-16 code units. */
	readonly getLength: () => number;
};

/**
 * Creates an empty cache.
 *
 * @param encodeValue - Returns the text of an object.
 * @param maximumLength - The maximum total length of the kept texts, in UTF-16 code units. The oldest are dropped first.
 */
export function createTextCache(encodeValue: (value: JsonObject) => string, maximumLength: number): TextCache {
	// A map lists its keys in the order of their insertion.
	const texts = new Map<JsonObject, string>();
	let length = 0;

	const dropOldest = () => {
		for (const [oldest, text] of texts) {
			if (length <= maximumLength) {
				return;
			}

			texts.delete(oldest);
			length -= text.length;
		}
	};

	return {
		encode(value) {
			const known = texts.get(value);
			if (known !== undefined) {
				return known;
			}

			const text = encodeValue(value);
			texts.set(value, text);
			length += text.length;
			dropOldest();
			return text;
		},
		getLength: () => length,
	};
}
