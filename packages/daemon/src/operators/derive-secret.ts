import {createHmac} from 'node:crypto';

const secretPrefix = 'smk_';

/**
 * Creates the function that derives the secrets of keys, of 256 bits each. Every entry host derives
 * the same secret from the same text. So if a grant is resent to another host, the answer contains
 * the secret whose hash was stored.
 *
 * @param clusterSecret - The secret that all entry hosts share.
 */
export function createSecretDeriver(clusterSecret: string): (text: string) => string {
	return text => `${secretPrefix}${createHmac('sha256', clusterSecret).update(`key-secret:${text}`).digest('base64url')}`;
}
