/** Writes the page of placement figures: replays every load and fault of both profiles, with tables and plots. */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {faults} from './faults.js';
import {generateTrace} from './generate.js';
import {type Figures, measure} from './measures.js';
import {baselinePolicies, policies, productPolicy} from './policies.js';
import {drawPlot} from './plot.js';
import {replayTrace} from './replay-trace.js';

type Row = {
	profile: string;
	load: number;
	fault: string;
	policy: string;
	figures: Figures;
};

const directory = 'docs/measurements';
const loads = [0.3, 0.6, 0.9, 1.1];
const seed = Number(process.argv[2] ?? 1);
const profileNames = ['lens-desk', 'film-installers'];

const replay = (profile: string, load: number, fault: string, policy: string): Row => {
	const trace = generateTrace({
		profile, load, seed, fault,
	});
	return {
		profile, load, fault, policy, figures: measure(replayTrace(trace, policies[policy]!)),
	};
};

const replayAll = (profile: string): Row[] => loads.flatMap(load => [
	...Object.keys(faults).map(fault => replay(profile, load, fault, productPolicy)),
	...baselinePolicies.map(policy => replay(profile, load, 'none', policy)),
]);

const toLine = ({load, fault, policy, figures}: Row): string => {
	const {responseRatio, wastedMessagesPerTask, goodput, refused, lateRefusals, failed, slotOverruns, teamShareError} = figures;
	const cells = [
		policy, load, fault, responseRatio.p50, responseRatio.p99, wastedMessagesPerTask, goodput, refused, lateRefusals, failed, slotOverruns, teamShareError,
	];
	return `| ${cells.join(' | ')} |`;
};

const header = `| policy | load | fault | p50 | p99 | waste | goodput | refused | late | failed | overruns | share error |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`;

const plotOf = (profile: string, rows: Row[], title: string, valueOf: (figures: Figures) => number): string => {
	const series = [productPolicy, ...baselinePolicies].map(policy => ({
		name: policy,
		points: rows.filter(row => row.policy === policy && row.fault === 'none').map(({load, figures}) => ({x: load, y: valueOf(figures)})),
	}));
	const file = `${profile}-${title.replaceAll(/\W+/gv, '-').toLowerCase()}.svg`;
	writeFileSync(`${directory}/${file}`, drawPlot(`${profile}: ${title}`, series));
	return `![${profile}: ${title}](${file})`;
};

const describeProfile = (profile: string): string => {
	const rows = replayAll(profile);
	const plots = [
		plotOf(profile, rows, 'response p50 over ideal', ({responseRatio}) => responseRatio.p50),
		plotOf(profile, rows, 'response p99 over ideal', ({responseRatio}) => responseRatio.p99),
		plotOf(profile, rows, 'wasted messages per task', ({wastedMessagesPerTask}) => wastedMessagesPerTask),
	];
	return `## ${profile}\n\n${plots.join('\n')}\n\n${header}\n${rows.map(row => toLine(row)).join('\n')}\n`;
};

mkdirSync(directory, {recursive: true});
const page = `---
title: Placement figures
description: Response time over ideal and wasted messages for each load and fault.
---

# Placement figures

Written by \`npm run plots -- ${seed}\` (seed ${seed}). The fields are explained in [Replay](../design/replay.md). The baselines are
replayed here without fault; \`npm run replay\` runs them beside any fault.

${profileNames.map(profile => describeProfile(profile)).join('\n')}`;
writeFileSync(`${directory}/placement.md`, page);
console.log(`wrote ${directory}/placement.md`);
