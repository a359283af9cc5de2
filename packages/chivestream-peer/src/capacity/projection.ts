/** Total cost of control traffic per host, and its projection to a size that was not measured. */
import process from 'node:process';
import {type Cost} from './in-memory.js';
import {type CallCost} from './over-grpc.js';

const bytesPerMegabyte = 2 ** 20;
const millisecondsPerSecond = 1000;
const messagesPerCall = 2;
/** Task starts per second expected in two years, those that one host can handle, and the reserve factor. */
const starts = {perSecond: 380_000, perSecondAndHost: 2000, headroom: 1.5};
const zones = 9;

/** Upper limits for the cost of membership per host. */
export const budget = {cpuShare: 0.016, memoryMb: 128, bytesPerSecond: 29_000};

/** Cost per host, including gRPC. */
export type Total = {
	cpuShare: number;
	bytesPerSecond: number;
	/** Resident memory of the process with all libraries loaded but no host, plus the heap of one host. */
	memoryMb: number;
};

const residentMb = process.memoryUsage().rss / bytesPerMegabyte;

/**
Adds the overhead of gRPC to the cost of the host with the most messages. The overhead of a call covers both ends and two
messages, so each message accounts for half of it.
*/
export const total = (cost: Cost, call: CallCost): Total => {
	const messages = cost.largestMessagesPerSecond;
	const grpcMsPerSecond = messages * call.cpuMs / messagesPerCall;
	return {
		cpuShare: (cost.cpuMsPerSecond + grpcMsPerSecond) / millisecondsPerSecond,
		bytesPerSecond: cost.largestMessageBytesPerSecond + (messages * call.bytes / messagesPerCall),
		memoryMb: residentMb + cost.heapMb,
	};
};

/** Returns the number of hosts expected in two years, rounded up to the same number in each zone. */
export const projectedHosts = (): number =>
	zones * Math.ceil(starts.perSecond * starts.headroom / starts.perSecondAndHost / zones);

const extrapolate = (points: Array<{size: number; value: number}>, size: number): number => {
	const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length;
	const meanValue = points.reduce((sum, point) => sum + point.value, 0) / points.length;
	const covariance = points.reduce((sum, point) => sum + ((point.size - meanSize) * (point.value - meanValue)), 0);
	const variance = points.reduce((sum, point) => sum + ((point.size - meanSize) ** 2), 0);
	return meanValue + (covariance / variance * (size - meanSize));
};

/** Extrapolates the cost to the projected size by linear least squares over the measured sizes. */
export const projectCost = (costs: readonly Cost[], call: CallCost): Total & {hosts: number} => {
	const hosts = projectedHosts();
	const totals = costs.map(cost => ({size: cost.hosts, ...total(cost, call)}));
	const projected = (select: (entry: Total) => number) => extrapolate(totals.map(entry => ({size: entry.size, value: select(entry)})), hosts);
	return {
		hosts,
		cpuShare: projected(entry => entry.cpuShare),
		bytesPerSecond: projected(entry => entry.bytesPerSecond),
		memoryMb: projected(entry => entry.memoryMb),
	};
};
