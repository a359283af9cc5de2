/** Streams of the platform's append-only log, as the rest of the system sees them. */
import {type Failure} from 'chivestream-core';
import {type Result} from 'ts-results-es';

/** Names of the streams that the system uses. */
export const streamName = {
	/** Configuration commands and snapshots. */
	configuration: 'configuration',
	/** Claims of opaque job keys. */
	claims: 'claims',
} as const;

/** One record of a stream. */
export type StreamRecord = {
	offset: number;
	/** Time at which the log took the record, in milliseconds since the Unix epoch. */
	at: number;
	value: unknown;
};

/** Records from an offset on, with the bounds of what the log still holds. */
export type StreamPage = {
	records: StreamRecord[];
	/** Lowest offset still retained. */
	first: number;
	/** Offset that the next append will get. */
	next: number;
};

/** What to read: from an offset on, waiting for news until a deadline. */
export type StreamRange = {
	from: number;
	limit: number;
	/** When to answer with an empty page if nothing came. */
	waitDeadline: number;
};

/** One stream of the log. A failed append may have taken effect all the same. */
export type Stream = {
	append: (value: unknown) => Promise<Result<number, Failure>>;
	read: (range: StreamRange) => Promise<Result<StreamPage, Failure>>;
};

/** States of a host on the platform's list. */
export const listedState = {
	live: 'live',
	leaving: 'leaving',
} as const;

/** A host on the platform's lagging list. */
export type ListedHost = {
	id: string;
	zone: string;
	address: string;
	state: (typeof listedState)[keyof typeof listedState];
};

/** Reads the platform's lagging list of hosts. */
export type HostList = () => Promise<Result<ListedHost[], Failure>>;
