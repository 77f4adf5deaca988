/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', '**/__snapshots__/**', 'vitest.config.js'],
	},
	{
		// Abbreviations that this repository allows in addition to XO's defaults.
		rules: {
			'unicorn/prevent-abbreviations': [
				'error',
				{
					allowList: {
						req: true,
						res: true,
						cfg: true,
						err: true,
						Err: true,

						args: true,
						Args: true,
						env: true,
					},
				},
			],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			'new-cap': [
				'error',
				{capIsNewExceptions: ['ImmutableMap', 'ImmutableList', 'ImmutableSet', 'ImmutableOrderedMap', 'OrderedMap', 'OrderedSet', 'List']},
			],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Each exhaustive switch has a default case with `assertNever`, which reports unexpected data at run time.
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true},
			],
		},
	},
	{
		// Test tools are dependencies of the workspace root, not of each package.
		files: ['**/*.test.ts', '**/test-*.ts', 'bench/**', 'examples/**', 'scripts/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
