/** Metrics of an entry host: counters and gauges from prom-client, response times from an HDR histogram. */
import {type JobAnswer} from 'chivestream-core';
import {build, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';
import {type JobRun} from './job-run.js';

/** Values of the gauges, read at each scrape. The names of the fields appear in the gauges' help texts. */
export type GaugeValues = {
	tasksStarted: number;
	tasksRetried: number;
	lateAnswers: number;
	attemptsRunning: number;
	keysRemembered: number;
	answerBytes: number;
	claimsRemembered: number;
	loanRequests: number;
	configurationVersion: number;
	configurationOffset: number;
	queued: number;
};

/** Metrics of one host. */
export type HostMetrics = {
	/** Records the response time and outcome of an answered job; `now` is in milliseconds since the Unix epoch. */
	recordJob: (run: JobRun, answer: JobAnswer, now: number) => void;
	/** Counts a job that was forwarded to the host that may run it. */
	countForward: (wasAnswered: boolean) => void;
	/** Metrics in the Prometheus text format. */
	format: () => Promise<string>;
	/** Response times of this host's jobs, in milliseconds. */
	responseTimes: () => Histogram;
};

const quantiles = [0.5, 0.9, 0.99, 0.999];
const longestResponseMs = 3_600_000;
const msPerSecond = 1000;
const percent = 100;

const gaugeNames: Record<keyof GaugeValues, string> = {
	tasksStarted: 'chivestream_task_starts_total',
	tasksRetried: 'chivestream_task_retries_total',
	lateAnswers: 'chivestream_late_answers_total',
	attemptsRunning: 'chivestream_attempts_running',
	keysRemembered: 'chivestream_keys_remembered',
	answerBytes: 'chivestream_answer_bytes',
	claimsRemembered: 'chivestream_claims_remembered',
	loanRequests: 'chivestream_loan_requests_total',
	configurationVersion: 'chivestream_configuration_version',
	configurationOffset: 'chivestream_configuration_offset',
	queued: 'chivestream_tasks_queued',
};

/** Creates the metrics of one host; `readGaugeValues` is called at each scrape. */
export const createHostMetrics = (readGaugeValues: () => GaugeValues): HostMetrics => {
	const registry = new Registry();
	const histogram = build({highestTrackableValue: longestResponseMs, numberOfSignificantValueDigits: 3});
	const jobs = new Counter({
		name: 'chivestream_jobs_total', help: 'Jobs by end and failure code', labelNames: ['state', 'code'], registers: [registry],
	});
	const forwards = new Counter({
		name: 'chivestream_forwards_total', help: 'Jobs handed to their home', labelNames: ['outcome'], registers: [registry],
	});
	const responses = new Gauge({
		name: 'chivestream_job_response_seconds', help: 'Response times of jobs whose home is this host', labelNames: ['quantile'], registers: [registry],
	});
	const gauges = Object.entries(gaugeNames).map(([field, name]) => ({
		field, gauge: new Gauge({name, help: `Figure ${field} of this host`, registers: [registry]}),
	}));

	const updateGauges = () => {
		const values: Record<string, number> = readGaugeValues();
		for (const {field, gauge} of gauges) {
			gauge.set(values[field] ?? 0);
		}

		for (const quantile of quantiles) {
			responses.set({quantile: String(quantile)}, histogram.getValueAtPercentile(quantile * percent) / msPerSecond);
		}
	};

	return {
		recordJob(run, answer, now) {
			histogram.recordValue(Math.min(longestResponseMs, Math.max(0, Math.round(now - run.startedAt))));
			jobs.inc({state: answer.state, code: answer.state === 'failed' ? answer.failure.code : ''});
		},
		countForward(wasAnswered) {
			forwards.inc({outcome: wasAnswered ? 'answered' : 'unreachable'});
		},
		async format() {
			updateGauges();
			return registry.metrics();
		},
		responseTimes: () => histogram,
	};
};
