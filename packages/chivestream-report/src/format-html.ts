/** Formats the report as an HTML page. */
import {type BurnReport, type ObjectiveReport, type WindowName} from './burn.js';
import {formatPercentile, formatRate, formatShare} from './format-text.js';
import {plotMinutes, plotPercentiles} from './plots.js';

const entities = new Map([
	['&', '&amp;'],
	['<', '&lt;'],
	['>', '&gt;'],
	['"', '&quot;'],
	['\'', '&#39;'],
]);

/** Escapes the characters that have a special meaning in HTML. */
export const escapeHtml = (text: string): string => text.replaceAll(/[&<>"']/gv, character => entities.get(character) ?? character);

const style = `
:root { color-scheme: light dark; font: 15px/1.5 system-ui, sans-serif; }
body { max-width: 72rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3rem .6rem; border-bottom: 1px solid #8884; font-variant-numeric: tabular-nums; }
section { margin: 2rem 0; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(22rem, 1fr)); gap: 1rem; }
figure { margin: 0; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: currentColor; }
.frame { fill: none; stroke: #8886; }
.good { fill: #3a8f5c; } .bad { fill: #c8452f; } .unknown { fill: #8a6fb8; }
.line { fill: none; stroke: #2f6fb0; stroke-width: 2; }
.target { stroke: #c8452f; stroke-dasharray: 4 3; }
.state { font-weight: 600; padding: .1rem .5rem; border-radius: .3rem; color: #fff; background: #777; }
.state-met { background: #3a8f5c; } .state-burning, .state-spent { background: #c8452f; } .state-unproved { background: #8a6fb8; }
.missing { border-left: 4px solid #8a6fb8; padding: .3rem 1rem; }
`;

const formatState = (state: string): string => `<span class="state state-${state}">${state}</span>`;

const windowTitles: Array<{name: WindowName; title: string}> = [
	{name: 'short', title: '5 minutes'},
	{name: 'long', title: '1 hour'},
	{name: 'budget', title: '6 hours'},
];

const formatWindowRow = ({windows}: ObjectiveReport, name: WindowName, title: string): string => {
	const {good, bad, unknown, burnRate, coverage} = windows[name];
	const cells = [title, good, bad, unknown, formatRate(burnRate), formatShare(coverage)];
	return `<tr>${cells.map(cell => `<td>${cell}</td>`).join('')}</tr>`;
};

const formatObjective = (report: ObjectiveReport, at: number): string => {
	const {objective, state, budgetLeft} = report;
	return `<section>
<h2>${escapeHtml(objective.name)} ${formatState(state)}</h2>
<p>${escapeHtml(objective.team)} on ${escapeHtml(objective.upstream)}: ${formatShare(objective.goal)} of the jobs within ${objective.targetMs} ms.
Error budget left: <strong>${formatShare(budgetLeft)}</strong>.
Answers: p50 ${formatPercentile(report, 50)}, p90 ${formatPercentile(report, 90)}, p99 ${formatPercentile(report, 99)}.</p>
<table><thead><tr><th>window</th><th>good</th><th>bad</th><th>unknown</th><th>burn rate</th><th>coverage</th></tr></thead>
<tbody>${windowTitles.map(({name, title}) => formatWindowRow(report, name, title)).join('\n')}</tbody></table>
<div class="plots">
<figure>${plotMinutes(report, at)}<figcaption>Jobs per minute: good, bad, unknown (UTC)</figcaption></figure>
<figure>${plotPercentiles(report)}<figcaption>Response times by percentile, logarithmic; the dashed line is the target</figcaption></figure>
</div>
</section>`;
};

const formatMissing = ({missing}: BurnReport): string => {
	const items = missing.map(({host, zone, reason}) => `<li>${escapeHtml(host)} (zone ${escapeHtml(zone)}): ${escapeHtml(reason)}</li>`);
	return missing.length === 0
		? ''
		: `<div class="missing"><h2>Missing hosts</h2>
<p>Their jobs are not included; no objective counts as met while hosts are missing.</p><ul>${items.join('\n')}</ul></div>`;
};

/** Formats the report as one self-contained page, which loads no other file. */
export const formatHtml = (report: BurnReport): string => `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Service-level burn</title>
<style>${style}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>At ${new Date(report.at).toISOString()}, from ${report.hosts.length} hosts. Unknown jobs count against the budget.</p>
${formatMissing(report)}
${report.objectives.length === 0 ? '<p>No objective is declared.</p>' : report.objectives.map(objective => formatObjective(objective, report.at)).join('\n')}
</body>
</html>
`;
