import {defineConfig} from 'vitest/config';

const sourceOf = name => new URL(`packages/${name}/src/index.ts`, import.meta.url).pathname;

export default defineConfig({
	resolve: {
		alias: {
			'@samphiremill/common': sourceOf('common'),
			'@samphiremill/core': sourceOf('core'),
			'@samphiremill/daemon': sourceOf('daemon'),
			'@samphiremill/cli': sourceOf('cli'),
		},
	},
	test: {
		include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts', 'examples/**/*.test.ts', 'bench/**/*.test.ts'],
		testTimeout: 60_000,
		setupFiles: ['scripts/test-setup.js'],
		// Each soak test starts five processes.
		maxConcurrency: 3,
		// Imports CommonJS packages as Node.js does.
		deps: {interopDefault: false},
	},
});
