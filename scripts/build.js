import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {build} from 'esbuild';

execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'], {stdio: 'inherit'});

const programs = [
	{entry: 'packages/daemon/dist/main.js', outfile: 'packages/daemon/dist/samphiremilld.mjs'},
	{entry: 'packages/cli/dist/main.js', outfile: 'packages/cli/dist/samphiremill.mjs'},
];

await Promise.all(programs.map(async ({entry, outfile}) => build({
	entryPoints: [entry],
	outfile,
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	banner: {
		js: 'import {createRequire as __createRequire} from \'node:module\';const require=__createRequire(import.meta.url);',
	},
	logLevel: 'warning',
})));
