/** Stand-in for the platform's append-only log. */
import {type ServerResponse} from 'node:http';
import {createRandom} from 'chivestream-core';
import {z} from 'zod';
import {
	isStoppedByOutage, noOutage, outageSchema, slowDown,
} from './outage.js';
import {createRetainedStream, type LogRecord, type RetainedStream} from './retained-stream.js';
import {
	anyLoopbackAddress, pathParameter, readJson, sendJson, startService, type RouteHandler, type RoutedRequest,
} from './service.js';

const logFaultsSchema = outageSchema.extend({
	/** How many of the next appends take effect without an answer. */
	lostAnswers: z.int().min(0),
	/** Probability that an append takes effect without an answer. */
	lostAnswerProbability: z.number().min(0).max(1),
	/** Most records a stream keeps. */
	maxRecords: z.int().min(0),
	/** Age up to which a stream keeps records. */
	maxAgeMs: z.number().min(0),
});

/** Switches of the log stand-in. */
export type LogFaults = z.infer<typeof logFaultsSchema>;

/** How to start a log stand-in. */
export type LogOptions = {
	listen?: string;
	seed?: number;
	maxRecords?: number;
	maxAgeMs?: number;
};

/** A running log stand-in. */
export type LogStandIn = {
	address: string;
	setFaults: (faults: Partial<LogFaults>) => void;
	/** Appends without a request, whatever the faults. */
	append: (stream: string, value: unknown) => number;
	/** Everything the stream retains. */
	records: (stream: string) => LogRecord[];
	/** Appends that took effect so far, over all streams. */
	appends: () => number;
	close: () => Promise<void>;
};

const defaultMaxRecords = 100_000;
const defaultMaxAgeMs = 3_600_000;
const defaultLimit = 500;

const rangeSchema = z.object({
	from: z.coerce.number().int().min(0).default(0),
	limit: z.coerce.number().int().min(1).max(10_000).default(defaultLimit),
	waitMs: z.coerce.number().min(0).max(60_000).default(0),
});

/** Starts a log stand-in. */
export const startLogStandIn = async (options: LogOptions = {}): Promise<LogStandIn> => {
	let faults: LogFaults = {
		...noOutage,
		lostAnswers: 0,
		lostAnswerProbability: 0,
		maxRecords: options.maxRecords ?? defaultMaxRecords,
		maxAgeMs: options.maxAgeMs ?? defaultMaxAgeMs,
	};
	let appendCount = 0;
	const random = createRandom(options.seed ?? 1);
	const streams = new Map<string, RetainedStream>();

	const streamOf = (name: string): RetainedStream => {
		const known = streams.get(name);
		if (known) {
			return known;
		}

		const stream = createRetainedStream(() => faults);
		streams.set(name, stream);
		return stream;
	};

	const append = (name: string, value: unknown): number => {
		appendCount++;
		return streamOf(name).append(value);
	};

	const setFaults = (change: Partial<LogFaults>) => {
		faults = {...faults, ...change};
		for (const stream of streams.values()) {
			stream.wakeReaders();
		}
	};

	const losesAnswer = (): boolean => {
		if (faults.lostAnswers > 0) {
			faults.lostAnswers--;
			return true;
		}

		return random() < faults.lostAnswerProbability;
	};

	const serveAppend = async (request: RoutedRequest, response: ServerResponse) => {
		const value = await readJson(request);
		const offset = append(pathParameter(request, 'name'), value);
		if (losesAnswer()) {
			request.socket.destroy();
			return;
		}

		await slowDown(faults);
		sendJson(response, 201, {offset});
	};

	const serveRead = async (request: RoutedRequest, response: ServerResponse) => {
		const {from, limit, waitMs} = rangeSchema.parse(request.query);
		const stream = streamOf(pathParameter(request, 'name'));
		await stream.waitFor(from, Date.now() + waitMs);
		await slowDown(faults);
		if (!isStoppedByOutage(faults, request, response)) {
			sendJson(response, 200, stream.read(from, limit));
		}
	};

	const unlessOut = (handler: RouteHandler): RouteHandler => async (request, response) => {
		if (!isStoppedByOutage(faults, request, response)) {
			await handler(request, response);
		}
	};

	const service = await startService({
		'POST /streams/:name/records': unlessOut(serveAppend),
		'GET /streams/:name/records': unlessOut(serveRead),
		async 'POST /faults'(request, response) {
			setFaults(logFaultsSchema.partial().parse(await readJson(request)));
			sendJson(response, 200, faults);
		},
	}, {listen: options.listen ?? anyLoopbackAddress});

	return {
		address: service.address,
		setFaults,
		append,
		records: name => streamOf(name).read(0, Number.MAX_SAFE_INTEGER).records,
		appends: () => appendCount,
		close: service.close,
	};
};
