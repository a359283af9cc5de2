/**
`npm run capacity:membership` measures the cost of control traffic per host at several sizes, and extrapolates it
linearly to the size expected in two years. Messages are serialized and sent over in-memory links on a fake clock. The overhead
of gRPC per call is measured over loopback and added. Prints one line of JSON per size and a last one with the projection.
`--hosts=N` leaves out larger sizes.
*/
/* eslint-disable no-await-in-loop -- measurements are sequential */
import process from 'node:process';
import {measureLayout, type Cost, type Layout} from './in-memory.js';
import {measureCall} from './over-grpc.js';
import {budget, projectCost, total} from './projection.js';

const layouts: Layout[] = [
	{zones: 3, hostsPerZone: 3},
	{zones: 9, hostsPerZone: 4},
	{zones: 9, hostsPerZone: 10},
	{zones: 9, hostsPerZone: 20},
];
const seed = 1;
const rounds = 40;
const largestSize = Number(process.argv.find(argument => argument.startsWith('--hosts='))?.slice('--hosts='.length) ?? Infinity);

const call = await measureCall(rounds);
const costs: Cost[] = [];
for (const layout of layouts.filter(({zones, hostsPerZone}) => zones * hostsPerZone <= largestSize)) {
	const cost = await measureLayout(layout, seed);
	costs.push(cost);
	console.log(JSON.stringify({...cost, ...total(cost, call)}));
}

console.log(JSON.stringify({call, projection: projectCost(costs, call), budget}));
process.exit(0);
