/** The host's log: JSON lines on standard output, bounded in volume and never blocking. */
import {Socket} from 'node:net';
import process from 'node:process';
import {Writable} from 'node:stream';
import {createLogger, format, transports} from 'winston';

/** Writes one line for a decision or a change of what the process believes. */
export type Report = (event: string, fields?: Record<string, unknown>) => void;

/** Lines of one event, and of one outcome where it has one, that are written in a second; the rest is counted. Refusals and
 * failures so have lines of their own, however many jobs end well. */
const maxLinesPerEventAndSecond = 20;

/** Bytes that may wait for a slow reader before lines are dropped. */
const maxBufferedBytes = 262_144;

const windowMs = 1000;

/** Standard output without blocking: a pipe is written through a socket of its own, as Node blocks on pipes otherwise. */
const openOutput = (): Writable => {
	try {
		const socket = new Socket({fd: 1, readable: false, writable: true});
		socket.on('error', () => {
			// Nobody reads the log any more; the host goes on without it.
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

/** Creates the log of a host; `now` is its steady clock in milliseconds, `output` standard output if it is left out. */
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
