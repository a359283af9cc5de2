/** Stand-in for the platform's lagging list of hosts. */
import {z} from 'zod';
import {createLaggedValue} from './lagged-value.js';
import {
	isStoppedByOutage, noOutage, outageSchema, slowDown, type Outage,
} from './outage.js';
import {
	anyLoopbackAddress, readJson, sendJson, startService,
} from './service.js';

const listedHostSchema = z.strictObject({
	id: z.string(),
	zone: z.string(),
	address: z.string(),
	state: z.enum(['live', 'leaving']),
});

const hostListSchema = z.strictObject({hosts: z.array(listedHostSchema)});

/** A host as the platform lists it. */
export type ListedHost = z.infer<typeof listedHostSchema>;

/** How to start a host list stand-in. */
export type HostsOptions = {
	listen?: string;
	/** Time until a change of the list can be seen. */
	lagMs?: number;
	hosts?: ListedHost[];
};

/** A running host list stand-in. */
export type HostsStandIn = {
	address: string;
	setHosts: (hosts: ListedHost[]) => void;
	setFaults: (faults: Partial<Outage>) => void;
	close: () => Promise<void>;
};

/** Starts a host list stand-in. */
export const startHostsStandIn = async (options: HostsOptions = {}): Promise<HostsStandIn> => {
	let faults = noOutage;
	const list = createLaggedValue(options.hosts ?? [], () => options.lagMs ?? 0);

	const setFaults = (change: Partial<Outage>) => {
		faults = {...faults, ...change};
	};

	const service = await startService({
		async 'GET /hosts'(request, response) {
			if (isStoppedByOutage(faults, request, response)) {
				return;
			}

			await slowDown(faults);
			sendJson(response, 200, {hosts: list.get().value});
		},
		async 'PUT /hosts'(request, response) {
			list.set(hostListSchema.parse(await readJson(request)).hosts);
			response.writeHead(204).end();
		},
		async 'POST /faults'(request, response) {
			setFaults(outageSchema.partial().parse(await readJson(request)));
			sendJson(response, 200, faults);
		},
	}, {listen: options.listen ?? anyLoopbackAddress});

	return {
		address: service.address,
		setHosts: list.set,
		setFaults,
		close: service.close,
	};
};
