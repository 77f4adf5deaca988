/**
 * Writes what was sent, answered and run to a file, one line each with the milliseconds since the start.
 */
import {createWriteStream} from 'node:fs';

/** Opens a record in the folder of a case. */
export function createRecord(file) {
	const startedMs = performance.now();
	const stream = createWriteStream(file);
	return {
		record(text) {
			stream.write(`${String(Math.round(performance.now() - startedMs)).padStart(7)} ${text}\n`);
		},
		async close() {
			await new Promise(resolve => {
				stream.end(resolve);
			});
		},
	};
}
