/** Replays a generated or recorded trace and prints the figures of the product and of the baselines. */
import {generateTrace} from './generate.js';
import {type Figures, measure} from './measures.js';
import {baselinePolicies, policies, productPolicy} from './policies.js';
import {replayTrace} from './replay-trace.js';
import {readTrace, type Trace, writeTrace} from './trace.js';

/** What to replay. */
export type ProfileOptions = {
	profile: string;
	load: number;
	seed: number;
	fault: string;
	policy: string;
	/** Trace file to replay in place of a generated trace. */
	trace: string | undefined;
	/** File to which the replayed trace is written. */
	saveTrace: string | undefined;
	/** Print the result as one JSON object on the last line. */
	json: boolean;
};

/** The figures of a run. */
export type ProfileResult = Figures & {
	profile: string;
	load: number;
	seed: number;
	fault: string;
	policy: string;
	baselines: Record<string, Figures>;
};

const policyOf = (name: string) => {
	const policy = Object.hasOwn(policies, name) ? policies[name] : undefined;
	if (!policy) {
		throw new Error(`there is no policy ${name}; name one of ${Object.keys(policies).join(', ')}`);
	}

	return policy;
};

/** Replays a trace with a policy and with every baseline. */
export const replayWithBaselines = (trace: Trace, policyName: string = productPolicy): ProfileResult => {
	const {
		profile, load, seed, fault,
	} = trace.deployment;
	const figures = measure(replayTrace(trace, policyOf(policyName)));
	const baselines = baselinePolicies.map(name => [name, measure(replayTrace(trace, policyOf(name)))] as const);
	return {
		profile, load, seed, fault, policy: policyName, ...figures, baselines: Object.fromEntries(baselines),
	};
};

const describe = (name: string, {responseRatio, wastedMessagesPerTask, goodput, refused}: Figures): string =>
	`${name}: response over ideal p50 ${responseRatio.p50}, p99 ${responseRatio.p99}; wasted messages per task ${wastedMessagesPerTask}; goodput ${goodput}; refused ${refused}`;

/** Runs the replay that the options ask for. Returns the exit code: 1 when a task started twice. */
export const runProfile = (options: ProfileOptions): number => {
	const trace = options.trace === undefined ? generateTrace(options) : readTrace(options.trace);
	if (options.saveTrace !== undefined) {
		writeTrace(options.saveTrace, trace);
	}

	const result = replayWithBaselines(trace, options.policy);
	console.log(describe(result.policy, result));
	for (const [name, figures] of Object.entries(result.baselines)) {
		console.log(describe(name, figures));
	}

	if (options.json) {
		console.log(JSON.stringify(result));
	}

	return result.doubleStarts > 0 ? 1 : 0;
};
