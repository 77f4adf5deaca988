import {toBrand, type KeyId} from '@samphiremill/common';
import type {ControlRecord, ControlState} from './types.js';

/**
 * Updates the index of keys by secret hash. If another key already has the secret, its entry stays, so
 * that `validateRecord` finds the duplicate.
 *
 * @param args.previous - The record before the write; `undefined` if it did not exist.
 * @param args.record - The record after the write; `undefined` if it was deleted.
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
