import {
	createFailure, createSuccess, type Result,
} from '@samphiremill/common';
import type {StoreError} from './types.js';

/**
 * @param err - What was thrown.
 * @returns The system's error code, for example `ENOSPC`.
 */
export function getErrorCode(err: unknown): string {
	return err instanceof Error && 'code' in err ? String(err.code) : String(err);
}

/**
 * Turns what file operations throw into a typed error.
 *
 * @param target - The file and what is done to it.
 * @param action - The file operations.
 * @returns The action's value, or `store/io`.
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
 * @param err - The error.
 * @returns One line for the log.
 */
export function formatStoreError(err: StoreError): string {
	switch (err.type) {
		case 'store/locked': {
			return `${err.file} is held by ${err.holder}`;
		}

		case 'store/damaged': {
			return `${err.file} is damaged at byte ${err.offset}: ${err.reason}`;
		}

		case 'store/io': {
			return `${err.operation} failed on ${err.file}: ${err.code}`;
		}
	}
}
