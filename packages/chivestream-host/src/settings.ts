/** Settings of an entry host on the users' platform. */
import {listenAddressSchema, nameSchema, reachableAddressSchema} from 'chivestream-settings';
import {z} from 'zod';

/** The name of the variable that holds the path of the settings file. */
export const settingsVariable = 'CHIVESTREAM_NODE_FILE';

/** Shape of the settings file. */
export const hostSettingsSchema = z.strictObject({
	host: z.strictObject({
		name: nameSchema,
		zone: nameSchema,
		/** Cores that the host may use, as a fraction. */
		cpuShare: z.number().positive(),
	}),
	listen: z.strictObject({
		callers: listenAddressSchema,
		readiness: listenAddressSchema,
		/** Other hosts connect here, so the address has to be reachable. */
		peers: reachableAddressSchema,
		/** Where counters and latencies are served as text; nowhere if it is left out. */
		metrics: listenAddressSchema.optional(),
	}),
	/** Peer addresses of some other hosts; they may be out of date. */
	seeds: z.array(reachableAddressSchema),
	/** Address of the platform's store. */
	store: reachableAddressSchema,
	bounds: z.strictObject({
		/** Longest lease of a minion's work, in milliseconds. */
		leaseMs: z.number().positive(),
		/** Time between the request to stop and the end by force, in seconds. */
		stopGraceSeconds: z.number().positive(),
		/** How much longer a task takes away from its data's rack. */
		farFactor: z.number().min(1),
	}),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

/** Settings of an entry host. */
export type HostSettings = z.output<typeof hostSettingsSchema>;
