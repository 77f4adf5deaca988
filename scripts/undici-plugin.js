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
	minifySyntax: true,
	minifyWhitespace: true,
	// Shortened identifiers need `keepNames` for readable stacks, and it sets the name of each function whenever one is created.
	minifyIdentifiers: false,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	plugins: [undiciClient],
	banner: {
		js: 'import {createRequire as __createRequire} from \'node:module\';const require=__createRequire(import.meta.url);',
	},
	logLevel: 'warning',
};
