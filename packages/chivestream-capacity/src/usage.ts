/** CPU time, memory and I/O traffic of this process and of other processes. */
import {readFile, readdir} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {z} from 'zod';

setFlagsFromString('--expose-gc');
const collectGarbage = z.custom<() => void>(value => typeof value === 'function').parse(runInNewContext('gc'));

const microsecondsPerMs = 1000;
const nanosecondsPerMs = 1_000_000;
const collectionCount = 3;
const collectionPauseMs = 10;
const bytesPerKilobyte = 1024;

/** Resource usage of a process. */
export type ProcessUsage = {
	/** CPU time of all live threads since they started, in milliseconds. */
	cpuMs: number;
	/** Bytes read from and written to files and sockets since the process started. */
	trafficBytes: number;
	/** Current resident memory. */
	residentBytes: number;
};

/**
Returns the bytes used by objects and buffers after several garbage collections. A pause precedes each collection because
compilers and weak references release memory only after a pause.
*/
export const readHeapBytes = async (): Promise<number> => {
	for (let count = 0; count < collectionCount; count++) {
		await setTimeout(collectionPauseMs); // eslint-disable-line no-await-in-loop -- collections are sequential
		collectGarbage();
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Returns the CPU time that all threads of this process use while a step runs, in milliseconds. */
export const measureCpuMs = async (step: () => void | Promise<void>): Promise<number> => {
	const before = process.cpuUsage();
	await step();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / microsecondsPerMs;
};

const readField = (text: string, name: string): number => {
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name}:`));
	return Number.parseInt(line?.slice(name.length + 1) ?? '', 10);
};

/** CPU time of all live threads of a process, in milliseconds. */
const readCpuMs = async (pid: number): Promise<number> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const texts = await Promise.all(threads.map(async thread => readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8')));
	return texts.reduce((sum, text) => sum + Number(text.split(' ', 1)[0]), 0) / nanosecondsPerMs;
};

/** Reads the usage of a running process from `/proc`. */
export const readProcessUsage = async (pid: number): Promise<ProcessUsage> => {
	const [status, io] = await Promise.all(['status', 'io'].map(async file => readFile(`/proc/${pid}/${file}`, 'utf8')));
	return {
		cpuMs: await readCpuMs(pid),
		trafficBytes: readField(io!, 'rchar') + readField(io!, 'wchar'),
		residentBytes: readField(status!, 'VmRSS') * bytesPerKilobyte,
	};
};
