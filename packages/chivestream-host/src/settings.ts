/** The settings file of an entry host on the users' platform. */
import {machineLimitsSchema} from 'chivestream-platform';
import {listenAddressSchema, nameSchema, reachableAddressSchema} from 'chivestream-settings';
import {z} from 'zod';

/** Name of the environment variable that holds the path of the settings file. */
export const settingsVariable = 'CHIVESTREAM_NODE_FILE';

/** Schema of the settings file. */
export const hostSettingsSchema = z.strictObject({
	host: z.strictObject({
		name: nameSchema,
		zone: nameSchema,
		/** Cores that the host may use; fractions are allowed. */
		cpuShare: z.number().positive(),
		/** Speed of its cores, as a multiple of the usual speed. */
		coreSpeed: z.number().positive().default(1),
		/** Speed of its link, in megabits per second; without it, the link is no limit. */
		linkMbps: z.number().positive().optional(),
		/** The platform's limits, which give the speed of the link if `linkMbps` doesn't. */
		machineLimits: machineLimitsSchema.optional(),
	}).transform(({machineLimits, linkMbps = machineLimits?.linkMbps, ...host}) => ({...host, linkMbps})),
	listen: z.strictObject({
		callers: listenAddressSchema,
		readiness: listenAddressSchema,
		/** Other hosts connect to this address, so it needs a specific IP address and port. */
		peers: reachableAddressSchema,
		/** Address at which the metrics are served; they aren't served without it. */
		metrics: listenAddressSchema.optional(),
	}),
	/** Peer addresses of some other hosts, for discovery; they may be out of date. */
	seeds: z.array(reachableAddressSchema),
	/** Address of the platform's store. */
	store: reachableAddressSchema,
	bounds: z.strictObject({
		/** Longest lease that a minion grants, in milliseconds. */
		leaseMs: z.number().positive(),
		/** Time between a stop signal and the moment at which the platform kills the process, in seconds. */
		stopGraceSeconds: z.number().positive(),
		/** Factor by which a task takes longer outside the rack of its data. */
		farFactor: z.number().min(1),
	}),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

/** Validated settings of an entry host, with defaults filled in. */
export type HostSettings = z.output<typeof hostSettingsSchema>;

/** Speed of the link that the messages of one core's work need, in megabits per second. */
const linkMbpsPerCore = 32;

/** Number of cores of the usual speed for which a host counts: its processor time, or less if its link is too slow for the messages of that. */
export const countedCores = ({cpuShare, coreSpeed, linkMbps = Infinity}: HostSettings['host']): number =>
	Math.min(cpuShare * coreSpeed, linkMbps / linkMbpsPerCore);
