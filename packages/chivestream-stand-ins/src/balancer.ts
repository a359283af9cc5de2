/** Stand-in for the platform's balancer: it spreads TCP connections over the entry hosts that are ready. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {createRandom, randomInteger, type Random} from 'chivestream-core';
import {z} from 'zod';
import {createHealthChecks} from './health-checks.js';
import {
	anyLoopbackAddress, listenOn, parseAddress, readJson, sendJson, startService,
} from './service.js';

const targetSchema = z.strictObject({
	/** `ip:port` that connections go to. */
	address: z.string(),
	/** `ip:port` that answers `GET /readyz`; the same as `address` unless given. */
	healthAddress: z.string().optional(),
});

const targetListSchema = z.strictObject({targets: z.array(targetSchema)});
const breakSchema = z.strictObject({share: z.number().min(0).max(1).default(1)});

/** An entry host behind the balancer. */
export type BalancerTarget = z.infer<typeof targetSchema>;

/** How the balancer chooses among the targets that are ready. */
export const spread = {
	roundRobin: 'round-robin',
	random: 'random',
} as const;

/** How to start a balancer stand-in. */
export type BalancerOptions = {
	listen?: string;
	/** Where to serve `PUT /targets`, `POST /break` and `GET /targets`. */
	controlListen?: string;
	targets?: BalancerTarget[];
	spread?: (typeof spread)[keyof typeof spread];
	seed?: number;
	/** Time between two health checks of a target. */
	healthIntervalMs?: number;
};

/** A running balancer stand-in. */
export type BalancerStandIn = {
	address: string;
	controlAddress: string;
	/** Replaces the targets; resolves once each has been checked. */
	setTargets: (targets: BalancerTarget[]) => Promise<void>;
	/** Breaks a share of the open connections, chosen by the seed. */
	breakConnections: (share?: number) => void;
	/** Addresses of the targets that passed their last health check. */
	ready: () => string[];
	close: () => Promise<void>;
};

const defaultHealthIntervalMs = 200;

const createPicker = (options: BalancerOptions, random: Random) => {
	let turn = 0;
	return (addresses: string[]): string[] => {
		if (addresses.length === 0) {
			return [];
		}

		turn++;
		const start = options.spread === spread.random ? randomInteger(random, addresses.length) : turn % addresses.length;
		return [...addresses.slice(start), ...addresses.slice(0, start)];
	};
};

/** Connects to the first address that accepts; undefined when none does. */
const connectToFirst = async (addresses: string[]): Promise<Socket | undefined> => {
	for (const address of addresses) {
		const socket = connect(parseAddress(address));
		try {
			// eslint-disable-next-line no-await-in-loop
			await once(socket, 'connect');
			return socket;
		} catch {
			socket.destroy();
		}
	}

	return undefined;
};

const join = (near: Socket, far: Socket) => {
	for (const [side, other] of [[near, far], [far, near]] as const) {
		side.setNoDelay(true);
		side.on('error', () => {
			other.destroy();
		});
		side.on('close', () => {
			other.destroy();
		});
	}

	near.pipe(far);
	far.pipe(near);
};

/** Starts a balancer stand-in. */
export const startBalancerStandIn = async (options: BalancerOptions = {}): Promise<BalancerStandIn> => {
	const random = createRandom(options.seed ?? 1);
	const orderTargets = createPicker(options, random);
	const health = createHealthChecks(options.healthIntervalMs ?? defaultHealthIntervalMs);
	const connections = new Set<Socket>();
	let targets: BalancerTarget[] = [];

	const ready = (): string[] => targets
		.filter(target => health.isHealthy(target.healthAddress ?? target.address))
		.map(target => target.address);

	const setTargets = async (change: BalancerTarget[]) => {
		targets = change;
		await health.watch(targets.map(target => target.healthAddress ?? target.address));
	};

	const breakConnections = (share = 1) => {
		for (const connection of connections) {
			if (random() < share) {
				connection.resetAndDestroy();
			}
		}
	};

	const accept = async (near: Socket) => {
		connections.add(near);
		near.once('close', () => {
			connections.delete(near);
		});
		near.on('error', () => undefined);
		const far = await connectToFirst(orderTargets(ready()));
		if (!far || near.destroyed) {
			far?.destroy();
			near.destroy();
			return;
		}

		join(near, far);
	};

	const server = createServer({pauseOnConnect: true}, near => {
		void accept(near);
	});
	const address = await listenOn(server, options.listen ?? anyLoopbackAddress);

	const control = await startService({
		async 'PUT /targets'(request, response) {
			await setTargets(targetListSchema.parse(await readJson(request)).targets);
			response.writeHead(204).end();
		},
		'GET /targets'(_request, response) {
			sendJson(response, 200, {targets, ready: ready()});
		},
		async 'POST /break'(request, response) {
			breakConnections(breakSchema.parse(await readJson(request) ?? {}).share);
			response.writeHead(204).end();
		},
	}, {listen: options.controlListen ?? anyLoopbackAddress});

	await setTargets(options.targets ?? []);
	return {
		address,
		controlAddress: control.address,
		setTargets,
		breakConnections,
		ready,
		async close() {
			health.close();
			const closed = once(server, 'close');
			server.close();
			breakConnections();
			await Promise.all([closed, control.close()]);
		},
	};
};
