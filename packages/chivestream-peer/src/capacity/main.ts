/**
`npm run capacity:membership -- --json`: the control cost of a host at several sizes, and at the size in two years by the
slope over them. Messages are serialized and pass over in-memory links on a fake clock; what gRPC adds to a call is measured
over loopback and added. Prints one line of JSON a size and a last one for the projection; `--json` leaves out the table.
*/
/* eslint-disable no-await-in-loop -- one measurement at a time */
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
