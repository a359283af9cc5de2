/** Structured logging with winston. */
import {
	createLogger, format, transports, type Logger,
} from 'winston';

/** A structured logger. */
export type {Logger} from 'winston';

/** Creates a logger that writes one JSON object per line to standard error, each with the given fields. */
export const createStructuredLogger = (fields: Record<string, string>, level = 'info'): Logger => createLogger({
	level,
	defaultMeta: fields,
	format: format.combine(format.timestamp(), format.errors({stack: true}), format.json()),
	transports: [new transports.Console({stderrLevels: ['error', 'warn', 'info', 'verbose', 'debug', 'silly']})],
});

/** A logger that writes nothing. */
export const silentLogger: Logger = createLogger({silent: true, transports: [new transports.Console()]});
