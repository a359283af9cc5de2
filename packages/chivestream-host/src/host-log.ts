/** The host's log: JSON lines on standard output, limited in rate and non-blocking. */
import {Socket} from 'node:net';
import process from 'node:process';
import {Writable} from 'node:stream';
import {createLogger, format, transports} from 'winston';

/** Logs an event, such as a decision or a state change, with its fields. */
export type Report = (event: string, fields?: Record<string, unknown>) => void;

/**
 * Lines written per second for one event, or for one outcome of an event that has outcomes; further lines are only counted. The
 * separate limits keep the lines of refusals and failures, however many jobs complete.
 */
const maxLinesPerEventAndSecond = 20;

/** Bytes that are buffered for a slow reader before lines are dropped. */
const maxBufferedBytes = 262_144;

const windowMs = 1000;

/** Opens standard output for non-blocking writes. A pipe is written through a socket, since `process.stdout` blocks on pipes. */
const openOutput = (): Writable => {
	try {
		const socket = new Socket({fd: 1, readable: false, writable: true});
		socket.on('error', () => {
			// The reader has closed the pipe; the host continues without a log.
		});
		return socket;
	} catch {
		// Standard output is a file or a terminal.
		return process.stdout;
	}
};

const createBoundedOutput = (output: Writable): Writable => new Writable({
	write(chunk, encoding, done) {
		if (output.writableLength < maxBufferedBytes) {
			output.write(chunk, encoding);
		}

		done();
	},
});

/** Creates the log of a host. `now` is the monotonic clock in milliseconds; `output` defaults to standard output. */
export const createReport = (fields: Record<string, string>, level: string, now: () => number, output?: Writable): Report => {
	const logger = createLogger({
		level,
		defaultMeta: fields,
		format: format.combine(format.timestamp(), format.json()),
		transports: [new transports.Stream({stream: createBoundedOutput(output ?? openOutput())})],
	});
	const counts = new Map<string, number>();
	let windowEnd = now() + windowMs;

	const closeWindow = () => {
		windowEnd = now() + windowMs;
		for (const [kind, count] of counts) {
			if (count > maxLinesPerEventAndSecond) {
				logger.info('lines-left-out', {of: kind, count: count - maxLinesPerEventAndSecond});
			}
		}

		counts.clear();
	};

	return (event, eventFields = {}) => {
		if (now() >= windowEnd) {
			closeWindow();
		}

		const kind = typeof eventFields.outcome === 'string' ? `${event} ${eventFields.outcome}` : event;
		const count = (counts.get(kind) ?? 0) + 1;
		counts.set(kind, count);
		if (count <= maxLinesPerEventAndSecond) {
			logger.info(event, eventFields);
		}
	};
};
