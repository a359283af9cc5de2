/** Counters, gauges and response times of one host, served in the Prometheus text format. */
import {createServer, type Server} from 'node:http';
import {build} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

/** Records the host's metrics and serves them. */
export type HostMetrics = {
	/** Records the HTTP status of a job's answer and its response time, in milliseconds. */
	recordAnswer: (status: number, tookMs: number) => void;
	/** Counts an event of the log, whether or not its line is written. */
	recordEvent: (event: string) => void;
	/** Serves the metrics on any path; it doesn't listen yet. */
	server: Server;
};

/** Functions that return the current values of the gauges; called for each scrape. */
export type HostGauges = {
	/** Jobs held by this host's dispatchers; 0 if it doesn't dispatch. */
	jobs: () => number;
	/** Tasks of these jobs that wait for free resources. */
	waitingTasks: () => number;
	declarationsVersion: () => number;
};

const percentiles = [50, 90, 99, 99.9];

const histogramSettings = {
	bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 2, useWebAssembly: false,
} as const;

/** Creates the host's metrics. */
export const createHostMetrics = (gauges: HostGauges): HostMetrics => {
	const registers = [new Registry()];
	const [registry] = registers;
	const latencies = build(histogramSettings);
	const answers = new Counter({
		name: 'chivestream_answers_total', help: 'Requests of callers by status', labelNames: ['status'], registers,
	});
	const events = new Counter({
		name: 'chivestream_events_total', help: 'Decisions and changes by kind, as in the log', labelNames: ['event'], registers,
	});
	const addGauge = (name: string, help: string, read: () => number) => new Gauge({
		name,
		help,
		registers,
		collect() {
			this.set(read());
		},
	});
	addGauge('chivestream_jobs', 'Jobs in hand at this host\'s dispatcher', gauges.jobs);
	addGauge('chivestream_waiting_tasks', 'Tasks that wait for room', gauges.waitingTasks);
	addGauge('chivestream_declarations_version', 'Version of the declarations in force', gauges.declarationsVersion);
	const quantiles = new Gauge({
		name: 'chivestream_response_ms',
		help: 'Response times since the start, in milliseconds',
		labelNames: ['percentile'],
		registers,
		collect() {
			for (const percentile of percentiles) {
				this.set({percentile: String(percentile)}, latencies.getValueAtPercentile(percentile));
			}
		},
	});
	quantiles.set({percentile: 'max'}, 0);
	return {
		recordAnswer(status, tookMs) {
			answers.inc({status: String(status)});
			latencies.recordValue(Math.min(histogramSettings.highestTrackableValue, Math.max(1, Math.round(tookMs))));
			quantiles.set({percentile: 'max'}, latencies.maxValue);
		},
		recordEvent(event) {
			events.inc({event});
		},
		server: createServer((_request, response) => {
			registry!.metrics().then(text => {
				response.setHeader('content-type', registry!.contentType);
				response.end(text);
			}, (error: unknown) => {
				response.statusCode = 500;
				response.end(String(error));
			});
		}),
	};
};
