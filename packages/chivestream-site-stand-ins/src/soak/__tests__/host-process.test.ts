import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {HostProcess} from '../host-process.js';

/** A program that appends its process id to a file and runs until it is killed, in place of the host's program. */
const program = `
import {appendFileSync} from 'node:fs';
import path from 'node:path';
appendFileSync(path.join(path.dirname(process.argv[3]), 'pids'), process.pid + ' ');
console.error('started');
setInterval(() => {}, 1000);
`;

let folder: string;
let host: HostProcess;

/** The process ids in the file so far, which is empty for a moment after its creation: id 0 would stand for the test runner's own group. */
const startedPids = (): number[] => {
	try {
		return (readFileSync(path.join(folder, 'pids'), 'utf8').match(/\d+(?= )/gv) ?? []).map(Number);
	} catch {
		return [];
	}
};

const isAlive = (pid: number) => {
	try {
		return process.kill(pid, 0);
	} catch {
		return false;
	}
};

const untilStarted = async (count: number) => {
	while (startedPids().length < count) {
		// eslint-disable-next-line no-await-in-loop -- polls are sequential
		await sleep(20);
	}
};

beforeEach(() => {
	folder = mkdtempSync(path.join(tmpdir(), 'chivestream-host-process-'));
	const file = path.join(folder, 'program.mjs');
	writeFileSync(file, program);
	host = new HostProcess({
		name: 'h0', zone: 'z0', ip: '127.0.0.1', store: '127.0.0.1:1', seeds: [], folder, program: file, leaseMs: 1000,
	});
});

afterEach(() => {
	for (const pid of startedPids().filter(started => isAlive(started))) {
		process.kill(pid, 'SIGKILL');
	}

	rmSync(folder, {recursive: true});
});

// Two overlapping faults restart the same host; a lost process kept its address and the test runner's output open.
test('a host that two faults restart has one process', async () => {
	host.start();
	await untilStarted(1);
	host.signal('SIGKILL');
	await host.waitForExit();
	host.start();
	host.start();
	await untilStarted(2);
	await sleep(500);
	expect(startedPids()).toHaveLength(2);
	expect(host.startCount).toBe(2);
	host.signal('SIGKILL');
	await host.waitForExit();
	expect(startedPids().filter(pid => isAlive(pid))).toEqual([]);
});

test('a host that has been closed is not started by a fault that is still in progress', async () => {
	host.start();
	await untilStarted(1);
	host.signal('SIGSTOP');
	await host.close();
	host.start();
	await sleep(500);
	expect(startedPids()).toHaveLength(1);
	expect(startedPids().filter(pid => isAlive(pid))).toEqual([]);
});

test('the error output of a host goes to a file of its own', async () => {
	host.start();
	await untilStarted(1);
	await sleep(200);
	await host.close();
	expect(readFileSync(path.join(folder, 'h0.errors.log'), 'utf8')).toBe('started\n');
});
