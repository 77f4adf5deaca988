/** Reads fields of JSON documents from an entry host without assuming their structure. */

/** The fields of a JSON object. */
export type Fields = Readonly<Record<string, unknown>>;

/** Returns the fields of an object, or no fields if the value is not an object. */
export function toFields(value: unknown): Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value) ? {...value} : {};
}

/** Returns the fields of each item of a list, or an empty list if the value is not a list. */
export function toItems(value: unknown): readonly Fields[] {
	return Array.isArray(value) ? value.map(item => toFields(item)) : [];
}

/** Returns the value if it is a string, else the empty string. */
export function toText(value: unknown): string {
	return typeof value === 'string' ? value : '';
}
