/**
 * Runs the tests. Passes if none fails but those that KNOWN-RED.txt lists, and prints these.
 */
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startVitest} from 'vitest/node';

const knownRedFile = 'KNOWN-RED.txt';

const readKnownRed = () => {
	const text = existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '';
	return new Set([...text.matchAll(/^test: (?<file>\S+), "(?<name>.+)"$/gmv)].map(({groups}) => `${groups.file}, "${groups.name}"`));
};

const knownRed = readKnownRed();
const vitest = await startVitest('test', process.argv.slice(2), {watch: false});
const modules = vitest.state.getTestModules();
const failed = modules.flatMap(({moduleId, children}) => {
	const file = path.relative('.', moduleId);
	return [...children.allTests('failed')].map(({fullName}) => `${file}, "${fullName}"`);
});
const unlisted = failed.filter(test => !knownRed.has(test));
// A file that cannot be loaded has no tests that fail.
const hasErrors = vitest.state.getUnhandledErrors().length > 0 || modules.some(module => module.errors().length > 0);

for (const test of failed.filter(test => knownRed.has(test))) {
	console.warn(`red, as ${knownRedFile} says: ${test}`);
}

process.exitCode = modules.length === 0 || hasErrors || unlisted.length > 0 ? 1 : 0;
