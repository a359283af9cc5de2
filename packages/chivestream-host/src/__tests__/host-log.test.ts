import {Writable} from 'node:stream';
import {setImmediate as settled} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import {createReport} from '../host-log.js';

const jobsPerSecond = 2000;
const linesPerKind = 20;

/** Creates an output that records the lines written to it. */
const createRecordingOutput = (): {output: Writable; lines: string[]} => {
	const lines: string[] = [];
	const output = new Writable({
		write(chunk: Uint8Array, _, done) {
			lines.push(...new TextDecoder().decode(chunk).trim().split('\n'));
			done();
		},
	});
	return {output, lines};
};

test('at ten times the usual load the lines of completed jobs are limited per second, and every refusal is logged', async () => {
	let time = 0;
	const {output, lines} = createRecordingOutput();
	const report = createReport({host: 'h'}, 'info', () => time, output);
	for (let job = 0; job < jobsPerSecond; job += 1) {
		time = (job * 999) / jobsPerSecond;
		report('job-answered', {job: `done-${job}`, outcome: 'completed'});
		if (job % 200 === 199) {
			report('job-answered', {job: `refused-${job}`, outcome: 'refused'});
		}
	}

	time = 1001;
	report('started');
	await settled();
	expect(lines.filter(line => line.includes('"done-'))).toHaveLength(linesPerKind);
	expect(lines.filter(line => line.includes('"refused-'))).toHaveLength(jobsPerSecond / 200);
	expect(lines.some(line => line.includes('lines-left-out') && line.includes(`"count":${jobsPerSecond - linesPerKind}`))).toBe(true);
});

test('a reader that never reads causes lines to be dropped and doesn\'t block the log', () => {
	let time = 0;
	const blockedOutput = new Writable({
		write() {
			// Never completes.
		},
	});
	const report = createReport({host: 'h'}, 'info', () => time, blockedOutput);
	const maxBufferedBytes = 300_000;
	for (let line = 0; line < 20_000; line += 1) {
		time += 60;
		report('job-answered', {job: `j-${line}`, outcome: 'completed'});
	}

	expect(blockedOutput.writableLength).toBeGreaterThan(0);
	expect(blockedOutput.writableLength).toBeLessThan(maxBufferedBytes);
});
