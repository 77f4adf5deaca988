/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', '**/__snapshots__/**', 'vitest.config.js'],
	},
	{
		// Customary short names of the house style, on top of XO's own.
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
			// `assertNever` closes each switch, so that foreign data at run time is reported too.
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true},
			],
		},
	},
	{
		// Test tools are dependencies of the workspace, not of each package.
		files: ['**/*.test.ts', '**/test-*.ts', 'bench/**', 'examples/**', 'scripts/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
