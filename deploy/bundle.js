/** Bundles the entry host's program into one file with its compiled code, so that it starts in a fraction of the time. */
import {execFileSync} from 'node:child_process';
import {copyFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** The options under which the program runs: compiled code is only taken under the same ones. */
const runOptions = ['--max-old-space-size=160', '--max-semi-space-size=2'];

// The bundler reads patterns without flags only.
/* eslint-disable require-unicode-regexp */

/** Parts of libraries that nothing here uses and that cost time at each start, replaced by what is needed of them. */
const unusedParts = [
	// Its top-level await has no place in this format.
	{file: /chivestream-core\/dist\/digest\.js$/, contents: 'export {};'},
	// The index loads fetch, cookies and web sockets as well: a fifth of the processor time of a start.
	{file: /undici\/index\.js$/, contents: 'exports.Pool = require("./lib/dispatcher/pool.js");'},
	// Writes histograms to files, with a compression library.
	{file: /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/, contents: 'exports.default = undefined;'},
];
/* eslint-enable require-unicode-regexp */

const withoutUnusedParts = {
	name: 'without-unused-parts',
	setup(esbuild) {
		for (const {file: filter, contents} of unusedParts) {
			esbuild.onLoad({filter}, ({path: file}) => ({contents, resolveDir: path.dirname(file)}));
		}
	},
};

await build({
	plugins: [withoutUnusedParts],
	entryPoints: ['packages/chivestream-host/dist/main.js'],
	outfile: 'target/chivestream-host.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	// Its main file loads its parts in a way that a bundler can't follow.
	external: ['jsonc-parser'],
	// A library loads its colours for terminals otherwise.
	define: {'import.meta': 'moduleMeta', 'process.env.NODE_ENV': '"production"'},
	banner: {js: 'const moduleMeta = {url: require("node:url").pathToFileURL(__filename).href};'},
	legalComments: 'none',
	logLevel: 'warning',
});
copyFileSync('deploy/start.cjs', 'target/start.cjs');
execFileSync(process.execPath, [...runOptions, 'target/start.cjs', '--write-code-cache']);
