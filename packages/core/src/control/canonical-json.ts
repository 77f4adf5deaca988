function sortFields(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => sortFields(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const entries = Object.entries(value).filter(([, field]) => field !== undefined);
	return Object.fromEntries(entries
		.toSorted(([left], [right]) => left < right ? -1 : 1)
		.map(([name, field]) => [name, sortFields(field)]));
}

/**
 * Serializes a value as JSON with fields sorted by name, so that equal values give equal text.
 *
 * @param value - Any value that JSON can represent.
 */
export function toCanonicalJson(value: unknown): string {
	return JSON.stringify(sortFields(value)) ?? '';
}
