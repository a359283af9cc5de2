/** Runs every `__tests__/*.test.ts` beside the code it covers; TypeScript is stripped by SWC. */
const config = {
	testEnvironment: 'node',
	roots: ['<rootDir>/packages', '<rootDir>/platform'],
	testMatch: ['**/__tests__/**/*.test.ts'],
	testPathIgnorePatterns: ['/node_modules/', '/dist/'],
	modulePathIgnorePatterns: ['/dist/'],
	extensionsToTreatAsEsm: ['.ts'],
	transform: {
		'^.+\\.ts$': ['@swc/jest', {
			jsc: {target: 'es2024', parser: {syntax: 'typescript'}},
			module: {type: 'es6'},
		}],
	},
	moduleNameMapper: {
		'^(\\.{1,2}/.*)\\.js$': '$1',
		'^chivestream-platform$': '<rootDir>/platform/src/index.ts',
		'^chivestream-([a-z-]+)$': '<rootDir>/packages/chivestream-$1/src/index.ts',
	},
	// Some tests start processes of their own.
	maxWorkers: 4,
	testTimeout: 180_000,
};

export default config;
