import {execFileSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

execFileSync(process.execPath, ['node_modules/typescript/bin/tsc', '-b'], {stdio: 'inherit'});

const programs = [
	{entry: 'packages/daemon/dist/main.js', outfile: 'packages/daemon/dist/samphiremilld.mjs'},
	{entry: 'packages/cli/dist/main.js', outfile: 'packages/cli/dist/samphiremill.mjs'},
];

const undiciClient = {
	name: 'undici-client',
	setup(plugin) {
		const filter = /^undici$/; // eslint-disable-line require-unicode-regexp -- esbuild reads the pattern itself
		plugin.onResolve({filter}, () => ({path: path.resolve('scripts/undici-client.js')}));
	},
};

await Promise.all(programs.map(async ({entry, outfile}) => build({
	entryPoints: [entry],
	outfile,
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	plugins: [undiciClient],
	banner: {
		js: 'import {createRequire as __createRequire} from \'node:module\';const require=__createRequire(import.meta.url);',
	},
	logLevel: 'warning',
})));
