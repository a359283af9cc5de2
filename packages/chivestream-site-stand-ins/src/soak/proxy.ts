/** TCP proxy on loopback that can delay traffic, drop it in one or both directions, or reset connections. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {boundAddress, splitAddress} from 'chivestream-core';

/** How the proxy treats traffic. */
export const forwardingMode = {
	open: 'open',
	/** Each chunk is forwarded after a delay. */
	delayed: 'delayed',
	/** Traffic is dropped in both directions; connections stay open. */
	silent: 'silent',
	/** Requests are forwarded, responses are dropped. */
	oneWay: 'one-way',
	/** Open and new connections are reset. */
	reset: 'reset',
} as const;

/** One of the forwarding modes. */
export type ForwardingMode = (typeof forwardingMode)[keyof typeof forwardingMode];

/** A running proxy. */
export type Proxy = {
	/** `ip:port` at which it listens. */
	address: string;
	setForwardingMode: (newMode: ForwardingMode) => void;
	close: () => void;
};

const delayMs = 150;

/** Starts a proxy to an `ip:port`. */
export const startProxy = async (target: string): Promise<Proxy> => {
	let currentMode: ForwardingMode = forwardingMode.open;
	const sockets = new Set<Socket>();
	const server: Server = createServer(clientSocket => {
		if (currentMode === forwardingMode.reset) {
			clientSocket.resetAndDestroy();
			return;
		}

		const serverSocket = connect(splitAddress(target));
		const forwardBytes = (from: Socket, to: Socket, isResponse: boolean) => {
			sockets.add(from);
			from.on('data', chunk => {
				if (currentMode === forwardingMode.silent || (currentMode === forwardingMode.oneWay && isResponse)) {
					return;
				}

				setTimeout(() => {
					to.write(chunk);
				}, currentMode === forwardingMode.delayed ? delayMs : 0);
			});
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				sockets.delete(from);
				to.destroy();
			});
		};

		forwardBytes(clientSocket, serverSocket, false);
		forwardBytes(serverSocket, clientSocket, true);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: boundAddress(server),
		setForwardingMode(newMode) {
			currentMode = newMode;
			if (newMode === forwardingMode.reset) {
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
