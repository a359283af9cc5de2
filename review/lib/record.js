/** The record of a run: what was sent, answered and run, with the time since the start. */
import {createWriteStream} from 'node:fs';
import {performance} from 'node:perf_hooks';

const startedAt = performance.now();

/** Time since the start of the script, in milliseconds. */
export const now = () => performance.now() - startedAt;

/** Opens the record in a folder. `note` adds a line; `close` resolves once all lines are written. */
export const openRecord = file => {
	const stream = createWriteStream(file);
	return {
		note(kind, fields = {}) {
			const text = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');
			stream.write(`${now().toFixed(0).padStart(7)} ${kind} ${text}\n`);
		},
		close: async () => new Promise(resolve => {
			stream.end(resolve);
		}),
	};
};
