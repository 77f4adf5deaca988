/** Most items of a list in one line of the log. */
export const maximumLoggedItems = 64;

/**
 * Shortens a list for a line of the log.
 *
 * @param items - The items; the line should carry their number, too.
 * @returns The first items.
 */
export function listForLog<Item>(items: readonly Item[]): readonly Item[] {
	return items.slice(0, maximumLoggedItems);
}
