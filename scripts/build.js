import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {build} from 'esbuild';
import {bundleOptions} from './undici-plugin.js';

execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'], {stdio: 'inherit'});

const programs = [
	{entry: 'packages/daemon/dist/main.js', outfile: 'packages/daemon/dist/samphiremilld.mjs'},
	{entry: 'packages/cli/dist/main.js', outfile: 'packages/cli/dist/samphiremill.mjs'},
];

await Promise.all(programs.map(async ({entry, outfile}) => build({...bundleOptions, entryPoints: [entry], outfile})));
