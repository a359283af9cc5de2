/** Lines of the entry hosts' logs. */
import {z} from 'zod';

/** One line: when, which host, what, and its fields. */
export type LogLine = {
	/** Milliseconds since the Unix epoch, by the host's own clock. */
	time: number;
	host: string;
	message: string;
	fields: Record<string, unknown>;
};

/** What a log holds; lines in another format are counted, as a log collector may add its own. */
export type LogContent = {
	lines: LogLine[];
	unreadable: number;
};

const lineSchema = z.looseObject({timestamp: z.iso.datetime(), host: z.string(), message: z.string()});

const parseObject = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		// Counted by the caller as a line in another format.
		return undefined;
	}
};

/** Reads a log of JSON lines; whatever stands before the object of a line, such as a collector's time, is skipped. */
export const readLog = (text: string): LogContent => {
	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const row of text.split('\n')) {
		const begin = row.indexOf('{');
		const parsed = lineSchema.safeParse(begin === -1 ? undefined : parseObject(row.slice(begin)));
		if (parsed.success) {
			const {timestamp, host, message, level, ...fields} = parsed.data;
			lines.push({
				time: Date.parse(timestamp), host, message, fields,
			});
		} else if (row.trim() !== '') {
			unreadable += 1;
		}
	}

	return {lines, unreadable};
};
