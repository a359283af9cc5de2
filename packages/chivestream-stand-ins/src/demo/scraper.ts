/** Keeps the last metrics of each entry host, also of those that have ended since. */
import {
	readMetrics, sumMetric, type LaunchedEntry, type MetricSamples,
} from '../cluster/index.js';

/** Last metrics of all entry hosts. */
export type Scraper = {
	/** Sum of a metric over all entry hosts, as each told it last. */
	sum: (metric: string) => number;
	/** Scrapes once more and ends. */
	close: () => Promise<void>;
};

const intervalMs = 500;

/** Scrapes at regular intervals until closed. */
export const startScraper = (entries: readonly LaunchedEntry[]): Scraper => {
	const last = new Map<string, MetricSamples>();

	const scrape = async () => {
		await Promise.all(entries.map(async ({id, callerAddress}) => {
			const samples = await readMetrics(callerAddress);
			if (samples) {
				last.set(id, samples);
			}
		}));
	};

	const timer = setInterval(() => {
		void scrape();
	}, intervalMs);

	return {
		sum: metric => [...last.values()].reduce((sum, samples) => sum + sumMetric(samples, metric), 0),
		async close() {
			clearInterval(timer);
			await scrape();
		},
	};
};
