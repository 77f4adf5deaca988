/** Reads of documents whose form the entry host decides. */

/** The fields of a JSON object. */
export type Fields = Readonly<Record<string, unknown>>;

/**
 * @param value - Any value.
 * @returns Its fields; none where it is no object.
 */
export function toFields(value: unknown): Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value) ? {...value} : {};
}

/**
 * @param value - Any value.
 * @returns Its items as fields; none where it is no list.
 */
export function toItems(value: unknown): readonly Fields[] {
	return Array.isArray(value) ? value.map(item => toFields(item)) : [];
}

/**
 * @param value - Any value.
 * @returns The text, or the empty text where it is none.
 */
export function toText(value: unknown): string {
	return typeof value === 'string' ? value : '';
}
