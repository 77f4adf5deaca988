/** The record of a run: what was sent, answered and run. */
import {writeFileSync} from 'node:fs';

/** Creates a record that starts now. */
export function createRecord() {
	const startedAtMs = Date.now();
	const lines = [];
	return {
		add(text) {
			lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}`);
		},
		save(file) {
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
}
