import murmurHash from 'imurmurhash';

/** Returns the 32-bit MurmurHash3 of a text as an unsigned integer. */
export function hashText(text: string): number {
	return murmurHash(text).result();
}

/**
 * Orders members by rendezvous (highest random weight) hashing, so that the loss of a member
 * reassigns only the keys that it owned.
 *
 * @returns The members, the owner of the key first, then its successors.
 */
export function rankMembers<Member extends string>(key: string, members: readonly Member[]): Member[] {
	return members
		.map(member => ({member, weight: hashText(`${member}\u0000${key}`)}))
		.toSorted((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
		.map(({member}) => member);
}
