/** Interfaces of the platform's append-only log and host list. */
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
	/** Time at which the log accepted the record, in milliseconds since the Unix epoch. */
	at: number;
	value: unknown;
};

/** Records from an offset on, with the bounds of what the log retains. */
export type StreamPage = {
	records: StreamRecord[];
	/** Lowest retained offset. */
	first: number;
	/** Offset that the next append will get. */
	next: number;
};

/** The records to read. */
export type StreamRange = {
	/** Offset of the first record. */
	from: number;
	/** Most records of the page. */
	limit: number;
	/** Time until which the log waits for a record, in milliseconds since the Unix epoch; the page is empty if there is none. */
	waitDeadline: number;
};

/** A stream of the log. A failed append may nevertheless have taken effect. */
export type Stream = {
	/** Returns the offset of the new record. */
	append: (value: unknown) => Promise<Result<number, Failure>>;
	read: (range: StreamRange) => Promise<Result<StreamPage, Failure>>;
};

/** States of a host on the platform's list. */
export const listedState = {
	live: 'live',
	leaving: 'leaving',
} as const;

/** An entry of the platform's host list, which lags behind the actual state of the hosts. */
export type ListedHost = {
	id: string;
	zone: string;
	address: string;
	state: (typeof listedState)[keyof typeof listedState];
};

/** Reads the platform's host list. */
export type HostList = () => Promise<Result<ListedHost[], Failure>>;
