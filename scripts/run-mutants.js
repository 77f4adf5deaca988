/**
 * Plants faults in the deciding code, one at a time, in a scratch copy of the work tree, and shows which test catches
 * each and after how long. The faults are listed in mutants.json. With arguments, only those whose names contain one of
 * them are planted, and the tests are not run without a fault first. SAMPHIREMILL_JOBS is the number of test processes.
 */
import {
	cp, mkdtemp, readdir, readFile, rm, symlink, writeFile,
} from 'node:fs/promises';
import {existsSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {startVitest} from 'vitest/node';

const testFolders = ['packages/core/src/scheduler', 'packages/daemon/src/scheduler'];
const copied = ['packages', 'platform', 'scripts', 'package.json', 'vitest.config.js', 'tsconfig.base.json', 'tsconfig.json'];
const leftOut = new Set(['node_modules', 'dist']);
/** It fails with any fault, since it looks for the texts that faults replace. */
const testOfList = 'planted-faults.test.ts';
const jobCount = Number(process.env.SAMPHIREMILL_JOBS ?? 2);

const linkModules = async (root, folder) => {
	const modules = path.join(root, folder, 'node_modules');
	if (existsSync(modules)) {
		await symlink(modules, path.join(folder, 'node_modules'), 'dir');
	}
};

const copyTree = async (root, scratch) => {
	await Promise.all(copied.map(async name => cp(path.join(root, name), path.join(scratch, name), {
		recursive: true,
		filter: source => !leftOut.has(path.basename(source)) && path.basename(source) !== testOfList,
	})));
	process.chdir(scratch);
	const packages = await readdir('packages');
	await Promise.all(['.', 'platform', ...packages.map(name => path.join('packages', name))].map(async folder => linkModules(root, folder)));
};

const readKnownRed = async root => {
	const text = await readFile(path.join(root, 'KNOWN-RED.txt'), 'utf8');
	return new Set([...text.matchAll(/^test: (?<file>\S+), "(?<name>.+)"$/gmv)].map(({groups}) => `${groups.file}, "${groups.name}"`));
};

// A test file that cannot be loaded catches nothing: the fault is not well formed then.
const createCatcher = knownRed => {
	const startedAtMs = performance.now();
	let runner;
	let caught;
	return {
		reporter: {
			onInit(vitest) {
				runner = vitest;
			},
			onTestCaseResult(testCase) {
				const name = `${path.relative('.', testCase.module.moduleId)}, "${testCase.fullName}"`;
				if (caught === undefined && testCase.result().state === 'failed' && !knownRed.has(name)) {
					caught = {name, afterMs: performance.now() - startedAtMs};
					runner.cancelCurrentRun('test-failure');
				}
			},
		},
		getCaught: () => caught,
		getElapsedMs: () => performance.now() - startedAtMs,
	};
};

const runTests = async knownRed => {
	const catcher = createCatcher(knownRed);
	const vitest = await startVitest('test', testFolders, {
		watch: false, root: process.cwd(), reporters: [catcher.reporter], maxWorkers: jobCount, minWorkers: 1,
	});
	const hasLoadErrors = vitest.state.getTestModules().some(module => module.errors().length > 0);
	await vitest.close();
	return {caught: catcher.getCaught(), elapsedMs: catcher.getElapsedMs(), hasLoadErrors};
};

const formatSeconds = durationMs => `${(durationMs / 1000).toFixed(1)} s`;

const plantFault = async ({name, file, text, replacement}, knownRed) => {
	const source = await readFile(file, 'utf8');
	if (source.split(text).length !== 2) {
		console.log(`STALE   ${name}: its text does not stand once in ${file}`);
		return 'stale';
	}

	await writeFile(file, source.replace(text, () => replacement));
	const {caught, elapsedMs, hasLoadErrors} = await runTests(knownRed);
	await writeFile(file, source);
	if (hasLoadErrors && caught === undefined) {
		console.log(`BROKEN  ${name}: a test file cannot be loaded with it`);
		return 'stale';
	}

	console.log(caught === undefined
		? `MISSED  ${name} (${formatSeconds(elapsedMs)})`
		: `caught  ${name}: ${caught.name} after ${formatSeconds(caught.afterMs)}`);
	return caught === undefined ? 'missed' : 'caught';
};

const passUnchanged = async knownRed => {
	const {caught, elapsedMs, hasLoadErrors} = await runTests(knownRed);
	if (caught !== undefined || hasLoadErrors) {
		console.log(`the tests fail without any fault: ${caught?.name ?? 'a test file cannot be loaded'}`);
		return false;
	}

	console.log(`all tests pass without a fault, in ${formatSeconds(elapsedMs)}`);
	return true;
};

const plantFaults = async (faults, knownRed) => {
	const outcomes = [];
	for (const fault of faults) {
		outcomes.push(await plantFault(fault, knownRed)); // eslint-disable-line no-await-in-loop -- one fault at a time
	}

	return outcomes;
};

const root = process.cwd();
const words = process.argv.slice(2);
const knownRed = await readKnownRed(root);
const listed = JSON.parse(await readFile(path.join(root, 'scripts/mutants.json'), 'utf8'));
const chosen = listed.filter(({name}) => words.length === 0 || words.some(word => name.includes(word)));
const scratch = await mkdtemp(path.join(os.tmpdir(), 'samphiremill-mutants-'));
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		rmSync(scratch, {recursive: true, force: true});
		process.exit(1);
	});
}

try {
	await copyTree(root, scratch);
	const outcomes = words.length > 0 || await passUnchanged(knownRed) ? await plantFaults(chosen, knownRed) : [];
	const count = outcome => outcomes.filter(other => other === outcome).length;
	console.log(`${count('caught')} of ${chosen.length} caught, ${count('missed')} missed, ${count('stale')} not applied`);
	process.exitCode = count('caught') === chosen.length ? 0 : 1;
} finally {
	process.chdir(root);
	await rm(scratch, {recursive: true, force: true});
}
