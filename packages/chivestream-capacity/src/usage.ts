/** Processor time, memory and traffic of this and of other processes. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {z} from 'zod';

setFlagsFromString('--expose-gc');
const collectGarbage = z.custom<() => void>(value => typeof value === 'function').parse(runInNewContext('gc'));

const microsecondsPerMs = 1000;
const msPerTick = 10;
const collections = 3;
const pauseMs = 10;
const bytesPerKilobyte = 1024;
/** Fields of `stat` after the name in brackets. */
const userTimeField = 11;
const systemTimeField = 12;

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

/** Usage of a process that runs, as the kernel tells it. */
export const readProcessUsage = async (pid: number): Promise<ProcessUsage> => {
	const [stat, status, io] = await Promise.all(['stat', 'status', 'io'].map(async file => readFile(`/proc/${pid}/${file}`, 'utf8')));
	const fields = stat!.slice(stat!.lastIndexOf(')') + 2).split(' ');
	return {
		cpuMs: (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * msPerTick,
		trafficBytes: readField(io!, 'rchar') + readField(io!, 'wchar'),
		residentBytes: readField(status!, 'VmRSS') * bytesPerKilobyte,
	};
};
