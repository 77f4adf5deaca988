import {expect, test} from 'vitest';
import type {StructuredLogger} from '../runtime/types.js';
import {createErrorBoundary} from './error-boundary.js';

test('a duty that fails is logged, and the others go on', () => {
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
	const contain = createErrorBoundary(log);
	for (const duty of ['leases', 'moves', 'upkeep']) {
		contain(duty, () => {
			if (duty === 'moves') {
				throw new TypeError('an unforeseen state');
			}

			done.push(duty);
		});
	}

	expect({done, lines}).toEqual({done: ['leases', 'upkeep'], lines: ['an unexpected error in moves']});
});
