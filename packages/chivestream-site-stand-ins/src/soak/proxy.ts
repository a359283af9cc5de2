/** A TCP proxy on loopback that can delay, silence, cut one way or reset what passes. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {boundAddress, splitAddress} from 'chivestream-core';

/** What the proxy does with bytes. */
export const passage = {
	open: 'open',
	delayed: 'delayed',
	/** Nothing passes; connections stay open. */
	silent: 'silent',
	/** Requests pass, answers don't. */
	oneWay: 'one-way',
	/** Connections are reset. */
	reset: 'reset',
} as const;

/** One of the ways. */
export type Passage = (typeof passage)[keyof typeof passage];

/** A running proxy. */
export type Proxy = {
	address: string;
	set: (how: Passage) => void;
	close: () => void;
};

const delayMs = 150;

/** Starts a proxy to an address. */
export const startProxy = async (target: string): Promise<Proxy> => {
	let how: Passage = passage.open;
	const sockets = new Set<Socket>();
	const server: Server = createServer(caller => {
		if (how === passage.reset) {
			caller.resetAndDestroy();
			return;
		}

		const callee = connect(splitAddress(target));
		const join = (from: Socket, to: Socket, isAnswer: boolean) => {
			sockets.add(from);
			from.on('data', chunk => {
				if (how === passage.silent || (how === passage.oneWay && isAnswer)) {
					return;
				}

				setTimeout(() => {
					to.write(chunk);
				}, how === passage.delayed ? delayMs : 0);
			});
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				sockets.delete(from);
				to.destroy();
			});
		};

		join(caller, callee, false);
		join(callee, caller, true);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: boundAddress(server),
		set(next) {
			how = next;
			if (next === passage.reset) {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}
		},
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
};
