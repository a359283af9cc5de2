/** What a host's control traffic costs in all, and at a size that was not measured. */
import process from 'node:process';
import {type Cost} from './in-memory.js';
import {type CallCost} from './over-grpc.js';

const bytesPerMegabyte = 2 ** 20;
const millisecondsPerSecond = 1000;
const messagesPerCall = 2;
const starts = {perSecond: 380_000, perSecondAndHost: 2000, headroom: 1.5};
const zones = 9;

/** The most that membership may cost a host. */
export const budget = {cpuShare: 0.016, memoryMb: 128, bytesPerSecond: 29_000};

/** What a host costs with gRPC. */
export type Total = {
	cpuShare: number;
	bytesPerSecond: number;
	/** Resident memory of the measuring process before the first host, with all libraries loaded, and one host's own. */
	memoryMb: number;
};

const residentMb = process.memoryUsage().rss / bytesPerMegabyte;

/** Adds gRPC's share to the host with the most messages; each call has two ends, and a host is one of them. */
export const total = (cost: Cost, call: CallCost): Total => {
	const messages = cost.largestMessagesPerSecond;
	const grpcMsPerSecond = messages * call.cpuMs / messagesPerCall;
	return {
		cpuShare: (cost.cpuMsPerSecond + grpcMsPerSecond) / millisecondsPerSecond,
		bytesPerSecond: cost.largestMessageBytesPerSecond + (messages * call.bytes / messagesPerCall),
		memoryMb: residentMb + cost.heapMb,
	};
};

/** Hosts in two years, the same number in each zone. */
export const projectedHosts = (): number =>
	zones * Math.ceil(starts.perSecond * starts.headroom / starts.perSecondAndHost / zones);

const extrapolate = (points: Array<{size: number; value: number}>, size: number): number => {
	const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length;
	const meanValue = points.reduce((sum, point) => sum + point.value, 0) / points.length;
	const covariance = points.reduce((sum, point) => sum + ((point.size - meanSize) * (point.value - meanValue)), 0);
	const variance = points.reduce((sum, point) => sum + ((point.size - meanSize) ** 2), 0);
	return meanValue + (covariance / variance * (size - meanSize));
};

/** The cost at the projected size, on the line of least squares through the measured sizes. */
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
