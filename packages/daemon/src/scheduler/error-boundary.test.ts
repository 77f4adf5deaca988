import {expect, test} from 'vitest';
import type {StructuredLogger} from '../runtime/types.js';
import {createErrorBoundary} from './error-boundary.js';

test('a duty that throws is logged, and the other duties run', () => {
	const lines: string[] = [];
	const log: StructuredLogger = {
		debug: () => undefined,
		info: () => undefined,
		warn: () => undefined,
		error(message) {
			lines.push(message);
		},
	};
	const done: string[] = [];
	const runIsolated = createErrorBoundary(log);
	for (const duty of ['leases', 'moves', 'upkeep']) {
		runIsolated(duty, () => {
			if (duty === 'moves') {
				throw new TypeError('unexpected state');
			}

			done.push(duty);
		});
	}

	expect({done, lines}).toEqual({done: ['leases', 'upkeep'], lines: ['unexpected error in moves']});
});
