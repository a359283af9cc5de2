/** Outages and slow answers of the platform's services, switched on and off while they run. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {waitUntil, systemClock} from 'chivestream-core';
import {z} from 'zod';
import {sendJson} from './service.js';

/** How a service behaves during an outage. */
export const outageMode = {
	none: 'none',
	/** Answers `503`. */
	refuse: '503',
	/** Takes the request and never answers. */
	hang: 'hang',
	/** Breaks the connection. */
	drop: 'drop',
} as const;

/** Switches for a platform service. */
export const outageSchema = z.strictObject({
	outage: z.enum(outageMode),
	/** Time added to every answer. */
	slowMs: z.number().min(0),
});

/** State of a platform service's switches. */
export type Outage = z.infer<typeof outageSchema>;

/** A service without faults. */
export const noOutage: Outage = {outage: outageMode.none, slowMs: 0};

/** Ends or holds a request as the outage demands; false when the request is to be served. */
export const isStoppedByOutage = (outage: Outage, request: IncomingMessage, response: ServerResponse): boolean => {
	switch (outage.outage) {
		case outageMode.none: {
			return false;
		}

		case outageMode.refuse: {
			sendJson(response, 503, {error: 'outage'});
			return true;
		}

		case outageMode.hang: {
			return true;
		}

		case outageMode.drop: {
			request.socket.destroy();
			return true;
		}
	}
};

/** Waits as long as the service is told to be slow. */
export const slowDown = async (outage: Outage): Promise<void> => {
	if (outage.slowMs > 0) {
		await waitUntil(systemClock, Date.now() + outage.slowMs);
	}
};
