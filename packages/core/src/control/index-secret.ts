import {toBrand, type KeyId} from '@samphiremill/common';
import type {ControlRecord, ControlState} from './types.js';

/**
 * Keeps the index of keys by their secret. A secret that another key holds stays with that key, which
 * is how the check of references finds that it is taken.
 *
 * @param args.previous - The record before the write.
 * @param args.record - The record after the write.
 * @returns The state with the index of the written records.
 */
export function updateSecretIndex({state, previous, record}: {
	readonly state: ControlState;
	readonly previous: ControlRecord | undefined;
	readonly record: ControlRecord | undefined;
}): ControlState {
	let {keyBySecretHash} = state;
	if (previous?.kind === 'key' && keyBySecretHash.get(previous.secretHash) === previous.id) {
		keyBySecretHash = keyBySecretHash.delete(previous.secretHash);
	}

	if (record?.kind === 'key' && !keyBySecretHash.has(record.secretHash)) {
		keyBySecretHash = keyBySecretHash.set(record.secretHash, toBrand<KeyId>(record.id));
	}

	return keyBySecretHash === state.keyBySecretHash ? state : {...state, keyBySecretHash};
}
