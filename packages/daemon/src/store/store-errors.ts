import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import type {StoreError} from './types.js';

/**
 * Returns the system's error code, for example `ENOSPC`, or the text of a value that has none.
 */
export function getErrorCode(err: unknown): string {
	return err instanceof Error && 'code' in err ? String(err.code) : String(err);
}

/**
 * Runs file operations and turns what they throw into a typed error.
 *
 * @param target - The file and the name of the operation, for the error.
 * @returns The value of the action, or `store/io`.
 */
export async function tryFileOperation<Value>(
	target: {readonly file: string; readonly operation: string},
	action: () => Promise<Value>,
): Promise<Result<Value, StoreError>> {
	try {
		return createSuccess(await action());
	} catch (err) {
		return createFailure({type: 'store/io', ...target, code: getErrorCode(err)});
	}
}

/**
 * Formats a store error as one line for the log.
 */
export function formatStoreError(err: StoreError): string {
	switch (err.type) {
		case 'store/locked': {
			return `${err.file} is locked by ${err.holder}`;
		}

		case 'store/damaged': {
			return `${err.file} is damaged at byte ${err.offset}: ${err.reason}`;
		}

		case 'store/closed': {
			return 'the store is closed';
		}

		case 'store/io': {
			return `${err.operation} failed on ${err.file}: ${err.code}`;
		}
	}
}
