/** Bundles the entry host's program into one file with its compiled code, so that it starts in a fraction of the time. */
import {execFileSync} from 'node:child_process';
import {copyFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** The options under which the program runs: compiled code is only taken under the same ones. */
const runOptions = ['--max-old-space-size=160', '--max-semi-space-size=2'];

// The bundler reads patterns without flags only.
// eslint-disable-next-line require-unicode-regexp
const digestFile = /chivestream-core\/dist\/digest\.js$/;

/** Leaves out the digest of the shared package: nothing here uses it, and its top-level await has no place in this format. */
const withoutDigest = {
	name: 'without-digest',
	setup(esbuild) {
		esbuild.onLoad({filter: digestFile}, () => ({contents: 'export {};'}));
	},
};

await build({
	plugins: [withoutDigest],
	entryPoints: ['packages/chivestream-host/dist/main.js'],
	outfile: 'target/chivestream-host.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minify: true,
	// Its main file loads its parts in a way that a bundler can't follow.
	external: ['jsonc-parser'],
	define: {'import.meta': 'moduleMeta'},
	banner: {js: 'const moduleMeta = {url: require("node:url").pathToFileURL(__filename).href};'},
	legalComments: 'none',
	logLevel: 'warning',
});
copyFileSync('deploy/start.cjs', 'target/start.cjs');
execFileSync(process.execPath, [...runOptions, 'target/start.cjs', '--write-code-cache']);
