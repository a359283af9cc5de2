/** Processor time and memory of another process, as the kernel tells them. */
import {readFile} from 'node:fs/promises';

/** Usage of a process at one moment. */
export type ProcessUsage = {
	/** Processor time used since its start, in seconds. */
	cpuSeconds: number;
	/** Resident memory. */
	memoryMb: number;
};

const ticksPerSecond = 100;
const kilobytesPerMegabyte = 1024;
/** Fields of `stat` after the name in brackets, which may itself hold spaces. */
const userTimeField = 11;
const systemTimeField = 12;

const parseCpuSeconds = (stat: string): number => {
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) / ticksPerSecond;
};

const parseMemoryMb = (status: string): number => {
	const kilobytes = /^VmRSS:\s+(?<kilobytes>\d+) kB$/mv.exec(status)?.groups?.kilobytes;
	return Number(kilobytes) / kilobytesPerMegabyte;
};

/** Usage of a running process now. */
export const readUsage = async (pid: number): Promise<ProcessUsage> => {
	const [stat, status] = await Promise.all([
		readFile(`/proc/${pid}/stat`, 'utf8'),
		readFile(`/proc/${pid}/status`, 'utf8'),
	]);
	return {cpuSeconds: parseCpuSeconds(stat), memoryMb: parseMemoryMb(status)};
};
