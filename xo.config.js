/** XO's own rules and formatting; only generated and built files are left out. */
const config = [
	{
		ignores: ['**/dist/**', '**/generated/**', 'docs/**', '**/__fixtures__/**'],
	},
	{
		rules: {
			// The compiler checks imports, and workspace packages resolve only after a build.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// The result library's constructors are plain functions with capital names.
			'new-cap': ['error', {newIsCap: true, capIsNew: true, capIsNewExceptions: ['Ok', 'Err', 'None', 'Some']}],
		},
	},
	{
		// Binaries import the built program for its effect and end with its exit code.
		files: ['packages/*/bin/*.js', 'packages/*/src/main.ts', 'packages/*/src/**/main.ts', '.ci/*.js'],
		rules: {
			'import-x/no-unassigned-import': 'off',
			'n/hashbang': 'off',
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		// The users' platform spells its fields in snake case; they are decoded here and nowhere else.
		files: ['platform/src/**', 'packages/chivestream-site-stand-ins/src/**'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/__tests__/**'],
		rules: {
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
];

export default config;
