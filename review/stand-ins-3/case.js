/**
 * Runs one case: writes what happens to the file that its argument names, and exits with 1 if the rule was broken, 0 if it held, and 2
 * if the case could not run.
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Thrown if the case cannot be played as intended, so that it tells nothing about the rule. */
export class CaseError extends Error {
	name = 'CaseError';
}

/**
 * Plays a case.
 *
 * @param play - Gets `record` and `breakRule`, and resolves to a function that releases everything the case holds.
 */
export async function runCase(play) {
	const recordFile = process.argv[2];
	const startedAtMs = performance.now();
	const lines = [];
	const breaks = [];
	const record = text => {
		lines.push(`${(performance.now() - startedAtMs).toFixed(0).padStart(7)} ms  ${text}`);
	};

	const breakRule = text => {
		breaks.push(text);
		record(`RULE BROKEN: ${text}`);
	};

	const releases = [];
	const defer = release => {
		releases.unshift(release);
	};

	// An error that no handler of the stand-ins catches ends the case as one that could not run; Node.js itself would exit with 1
	const uncaught = new Promise((resolve, reject) => {
		process.on('uncaughtException', reject);
	});

	let exitCode = 0;
	try {
		record(hasTrouble ? 'with the disruption' : 'without the disruption');
		await Promise.race([play({record, breakRule, defer}), uncaught]);
		exitCode = breaks.length > 0 ? 1 : 0;
		record(breaks.length > 0 ? `the rule was broken ${breaks.length} times` : 'the rule held');
	} catch (err) {
		exitCode = 2;
		record(`the case could not run: ${err instanceof CaseError ? err.message : err.stack}`);
	}

	for (const release of releases) {
		await release(); // eslint-disable-line no-await-in-loop -- in reverse order of the start
	}

	writeFileSync(recordFile, `${lines.join('\n')}\n`);
	process.stdout.write(`${lines.at(-1)}\n`);
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- some stand-ins still wait for their timers
}
