import murmurHash from 'imurmurhash';

/**
 * @param text - The text to hash.
 * @returns A 32-bit MurmurHash3 as an unsigned integer.
 */
export function hashText(text: string): number {
	return murmurHash(text).result();
}

/**
 * Orders members by rendezvous (highest random weight) hashing, so that the loss of one member
 * moves only what that member owned.
 *
 * @param key - What is to be owned.
 * @param members - The candidates.
 * @returns The candidates, the owner first, its successors after it.
 */
export function rankMembers<Member extends string>(key: string, members: readonly Member[]): Member[] {
	return members
		.map(member => ({member, weight: hashText(`${member}\u0000${key}`)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
		.map(({member}) => member);
}
