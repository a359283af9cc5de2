/** A TCP forwarder on loopback that can be cut, delayed and healed. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {anyLoopbackAddress, listenOn, parseAddress} from './service.js';

/** How to start a link. */
export type LinkOptions = {
	/** `ip:port` to forward to. */
	target: string;
	listen?: string;
	/** Time that data takes in each direction. */
	delayMs?: number;
};

/** A running link. */
export type Link = {
	address: string;
	/** Holds all data, as a partition does; connections stay open. */
	cut: () => void;
	/** Breaks all connections and refuses new ones. */
	reset: () => void;
	/** Forwards again, held data first. */
	heal: () => void;
	setDelayMs: (delayMs: number) => void;
	close: () => Promise<void>;
};

type LinkState = {
	isCut: boolean;
	isReset: boolean;
	delayMs: number;
	/** Called when the link is healed. */
	held: Set<() => void>;
};

/** Passes on what one side sends, in order, each piece after the delay and none while the link is cut. */
const forward = (source: Socket, destination: Socket, state: LinkState) => {
	const queue: Array<{dueAt: number; data: Uint8Array | undefined}> = [];
	let timer: NodeJS.Timeout | undefined;

	const flush = () => {
		clearTimeout(timer);
		while (!state.isCut && queue[0] && queue[0].dueAt <= Date.now()) {
			const {data} = queue.shift()!;
			if (data) {
				destination.write(data);
			} else {
				destination.end();
			}
		}

		if (!state.isCut && queue[0]) {
			timer = setTimeout(flush, queue[0].dueAt - Date.now());
		}
	};

	const push = (data: Uint8Array | undefined) => {
		queue.push({dueAt: Date.now() + state.delayMs, data});
		flush();
	};

	state.held.add(flush);
	source.on('data', push);
	source.on('end', () => {
		push(undefined);
	});
	source.on('error', () => {
		destination.destroy();
	});
	source.on('close', () => {
		clearTimeout(timer);
		state.held.delete(flush);
		if (source.destroyed && !source.readableEnded) {
			destination.destroy();
		}
	});
};

/** Starts a link to one address. */
export const startLink = async (options: LinkOptions): Promise<Link> => {
	const state: LinkState = {
		isCut: false, isReset: false, delayMs: options.delayMs ?? 0, held: new Set(),
	};
	const sockets = new Set<Socket>();

	const track = (socket: Socket) => {
		socket.setNoDelay(true);
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	};

	const server = createServer({allowHalfOpen: true}, near => {
		if (state.isReset) {
			near.on('error', () => undefined);
			near.resetAndDestroy();
			return;
		}

		const far = connect({...parseAddress(options.target), allowHalfOpen: true});
		track(near);
		track(far);
		forward(near, far, state);
		forward(far, near, state);
	});
	const address = await listenOn(server, options.listen ?? anyLoopbackAddress);

	const breakAll = () => {
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}
	};

	return {
		address,
		cut() {
			state.isCut = true;
		},
		reset() {
			state.isReset = true;
			breakAll();
		},
		heal() {
			state.isCut = false;
			state.isReset = false;
			for (const flush of state.held) {
				flush();
			}
		},
		setDelayMs(delayMs) {
			state.delayMs = delayMs;
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			breakAll();
			await closed;
		},
	};
};
