/** Schema and defaults of the settings of an entry host. */
import {z} from 'zod';
import {isReachableAddress, parseAddress} from './address.js';

const namePattern = /^[A-Za-z0-9][\w.\-]*$/v;
const addressExample = 'an address as ip:port, such as "10.0.0.1:7000"';

/** Names of hosts, regions, zones, teams and upstreams. They must not contain separators of job keys. */
export const nameSchema = z.string().max(64)
	.regex(namePattern, 'a name of letters, digits, ".", "_" and "-" that starts with a letter or digit');

/** An address to listen on; on port 0, the operating system chooses the port. */
export const listenAddressSchema = z.string()
	.refine(text => parseAddress(text) !== undefined, {error: `${addressExample}; port 0 lets the system choose`});

/** An address that other hosts, callers or operators connect to; neither port 0 nor a wildcard IP address. */
export const reachableAddressSchema = z.string()
	.refine(isReachableAddress, {error: `${addressExample}, with the IP number and port that others connect to`});

/** The HTTP or HTTPS base URL of a platform service. */
export const urlSchema = z.url({protocol: /^https?$/v, error: 'a URL, such as "http://10.0.0.9:8080"'});

/** A duration in milliseconds, at most one day. */
export const durationMsSchema = z.int().min(1).max(86_400_000);

const defaults = {
	maxBodyBytes: 4_194_304,
	maxRememberedJobs: 100_000,
	maxRememberedBytes: 67_108_864,
	keyEpochMs: 60_000,
	answerRetentionMs: 120_000,
	drainMs: 30_000,
	platformRequestMs: 2000,
} as const;

const limitsSchema = z.strictObject({
	maxBodyBytes: z.int().min(1024).default(defaults.maxBodyBytes),
	maxRememberedJobs: z.int().min(1).default(defaults.maxRememberedJobs),
	maxRememberedBytes: z.int().min(1024).default(defaults.maxRememberedBytes),
	keyEpochMs: durationMsSchema.default(defaults.keyEpochMs),
	answerRetentionMs: durationMsSchema.default(defaults.answerRetentionMs),
	drainMs: durationMsSchema.default(defaults.drainMs),
	platformRequestMs: durationMsSchema.default(defaults.platformRequestMs),
});

const peerSchema = z.strictObject({
	id: nameSchema,
	zone: nameSchema,
	address: reachableAddressSchema,
});

const listenSchema = z.strictObject({
	caller: listenAddressSchema,
	peer: listenAddressSchema,
	operator: listenAddressSchema,
});

const advertiseSchema = z.strictObject({
	caller: reachableAddressSchema.optional(),
	peer: reachableAddressSchema.optional(),
	operator: reachableAddressSchema.optional(),
});

const tlsSchema = z.strictObject({
	key: z.string().min(1),
	certificate: z.string().min(1),
	authority: z.string().min(1).optional(),
});

/** Levels of the structured log, from the fewest to the most messages. */
export const logLevels = ['error', 'warn', 'info', 'debug'] as const;

const services = ['caller', 'peer', 'operator'] as const;

const isWildcard = (address: string): boolean => {
	const ip = parseAddress(address)?.ip;
	return ip === '0.0.0.0' || ip === '::';
};

/**
Schema of an entry host's settings file. A service that listens on a wildcard address needs an advertised address, and peer ids
must be unique.
*/
export const entrySettings = z.strictObject({
	host: z.strictObject({id: nameSchema, region: nameSchema, zone: nameSchema}),
	listen: listenSchema,
	advertise: advertiseSchema.prefault({}),
	platform: z.strictObject({logs: z.array(urlSchema).min(1), hosts: urlSchema}),
	peers: z.array(peerSchema).default([]),
	operatorToken: z.string().min(16),
	tls: tlsSchema.optional(),
	limits: limitsSchema.prefault({}),
	logLevel: z.enum(logLevels).default('info'),
}).check(context => {
	const {value: settings, issues} = context;
	for (const service of services) {
		if (isWildcard(settings.listen[service]) && settings.advertise[service] === undefined) {
			issues.push({
				code: 'custom',
				input: undefined,
				path: ['advertise', service],
				message: addressExample,
				params: {fix: `add advertise.${service}, since listen.${service} is a wildcard address`},
			});
		}
	}

	const ids = new Set<string>();
	for (const [index, peer] of settings.peers.entries()) {
		if (ids.has(peer.id)) {
			issues.push({
				code: 'custom',
				input: peer.id,
				path: ['peers', index, 'id'],
				message: 'an id that no other peer has',
				params: {fix: 'give each peer its own id'},
			});
		}

		ids.add(peer.id);
	}
});

/** Validated settings of an entry host with defaults applied. */
export type EntrySettings = z.output<typeof entrySettings>;
