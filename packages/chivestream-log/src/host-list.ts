/** HTTP client of the platform's host list. The list lags behind the actual state of the hosts. */
import {type Clock, failureCode, systemClock} from 'chivestream-core';
import {Agent} from 'undici';
import {z} from 'zod';
import {requestJson} from './request.js';
import {type HostList, listedState} from './stream.js';

/** Options of the host list client. */
export type HostListOptions = {
	/** Base URL of the service. */
	url: string;
	/** Time limit of a request, in milliseconds. */
	requestTimeoutMs: number;
	clock?: Clock;
};

/** A client of the host list. */
export type HostListClient = {
	list: HostList;
	/** Closes the connections; requests in progress fail. */
	close: () => Promise<void>;
};

const okStatus = 200;

const hostListSchema = z.object({
	hosts: z.array(z.object({
		id: z.string(),
		zone: z.string(),
		address: z.string(),
		state: z.enum(Object.values(listedState)),
	})),
});

/** Creates a client of the host list. A request without an answer fails with `connection-failed` or `timed-out`. */
export const createHostList = ({url, requestTimeoutMs, clock = systemClock}: HostListOptions): HostListClient => {
	const dispatcher = new Agent({pipelining: 1});
	const connection = {dispatcher, clock, unavailableCode: failureCode.connectionFailed};
	return {
		async list() {
			const result = await requestJson(connection, {
				method: 'GET',
				url: new URL('/hosts', url),
				deadline: clock.now() + requestTimeoutMs,
				step: 'list-hosts',
				status: okStatus,
				schema: hostListSchema,
			});
			return result.map(({hosts}) => hosts);
		},
		close: async () => dispatcher.destroy(),
	};
};
