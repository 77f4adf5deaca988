import {createHmac} from 'node:crypto';

const secretPrefix = 'smk_';

/**
 * Creates the function that derives keys' secrets. Every entry host derives the same one from the
 * same text, so that a grant that is resent to another host shows the secret that was stored.
 *
 * @param clusterSecret - The secret that all entry hosts share.
 * @returns A function from a text to a secret of 256 bits.
 */
export function createSecretDeriver(clusterSecret: string): (text: string) => string {
	return text => `${secretPrefix}${createHmac('sha256', clusterSecret).update(`key-secret:${text}`).digest('base64url')}`;
}
