import path from 'node:path';

/** Replaces `undici` in a bundle by the part of it that the programs use. */
export const undiciClient = {
	name: 'undici-client',
	setup(plugin) {
		const filter = /^undici$/; // eslint-disable-line require-unicode-regexp -- esbuild parses the pattern itself
		plugin.onResolve({filter}, () => ({path: path.resolve('scripts/undici-client.js')}));
	},
};

/** Options with which every program is bundled. */
export const bundleOptions = {
	bundle: true,
	// Identifiers stay as they are, so that stacks can be read. `keepNames` would instead define the name of each closure at run time.
	minifySyntax: true,
	minifyWhitespace: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	plugins: [undiciClient],
	banner: {
		js: 'import {createRequire as __createRequire} from \'node:module\';const require=__createRequire(import.meta.url);',
	},
	logLevel: 'warning',
};
