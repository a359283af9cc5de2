/** Processor time, memory and traffic of this and of other processes. */
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
const collections = 3;
const pauseMs = 10;
const bytesPerKilobyte = 1024;

/** What another process has used since its start. */
export type ProcessUsage = {
	cpuMs: number;
	/** Bytes that it read and wrote over all files and sockets. */
	trafficBytes: number;
	/** Memory now. */
	residentBytes: number;
};

/** Bytes in use after collections: objects and buffers. Compilers and weak references let go only after a pause. */
export const readHeapBytes = async (): Promise<number> => {
	for (let count = 0; count < collections; count++) {
		await setTimeout(pauseMs); // eslint-disable-line no-await-in-loop -- one collection after another
		collectGarbage();
	}

	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Runs a step and gives its processor time, all threads of this process together, in milliseconds. */
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

/** Processor time of all threads of a process. */
const readCpuMs = async (pid: number): Promise<number> => {
	const threads = await readdir(`/proc/${pid}/task`);
	const texts = await Promise.all(threads.map(async thread => readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8')));
	return texts.reduce((sum, text) => sum + Number(text.split(' ', 1)[0]), 0) / nanosecondsPerMs;
};

/** Usage of a process that runs, as the kernel tells it. */
export const readProcessUsage = async (pid: number): Promise<ProcessUsage> => {
	const [status, io] = await Promise.all(['status', 'io'].map(async file => readFile(`/proc/${pid}/${file}`, 'utf8')));
	return {
		cpuMs: await readCpuMs(pid),
		trafficBytes: readField(io!, 'rchar') + readField(io!, 'wchar'),
		residentBytes: readField(status!, 'VmRSS') * bytesPerKilobyte,
	};
};
