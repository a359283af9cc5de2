/** Parser for the entry hosts' logs. */
import {z} from 'zod';

/** One log event with its fields. */
export type LogLine = {
	/** Milliseconds since the Unix epoch, by the local clock of the host. */
	time: number;
	host: string;
	/** Name of the log event, such as `job-answered`. */
	message: string;
	fields: Record<string, unknown>;
};

/** The parsed lines of a log. */
export type ParsedLog = {
	lines: LogLine[];
	/** Number of non-empty lines in another format, which a log collector may add. */
	unreadableLines: number;
};

const lineSchema = z.looseObject({timestamp: z.iso.datetime(), host: z.string(), message: z.string()});

const parseObject = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		// The caller counts the line as unreadable.
		return undefined;
	}
};

/** Parses a log of JSON lines. Text before the JSON object of a line, such as a collector's timestamp, is skipped. */
export const parseLog = (text: string): ParsedLog => {
	const lines: LogLine[] = [];
	let unreadableLines = 0;
	for (const row of text.split('\n')) {
		const objectStart = row.indexOf('{');
		const parsed = lineSchema.safeParse(objectStart === -1 ? undefined : parseObject(row.slice(objectStart)));
		if (parsed.success) {
			const {timestamp, host, message, level, ...fields} = parsed.data;
			lines.push({
				time: Date.parse(timestamp), host, message, fields,
			});
		} else if (row.trim() !== '') {
			unreadableLines += 1;
		}
	}

	return {lines, unreadableLines};
};
