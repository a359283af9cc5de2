/** TCP relay that counts the forwarded bytes and can simulate a network partition. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';

/** A running relay. */
export type Relay = {
	address: string;
	/** Bytes forwarded so far, in both directions. */
	bytes: () => number;
	/** Forwards new connections to another `ip:port` from now on. */
	setTarget: (target: string) => void;
	/** Stops forwarding without closing any connection, as in a network partition. */
	cut: () => void;
	/** Resumes forwarding, starting with the data held back since `cut`. */
	heal: () => void;
	close: () => Promise<void>;
};

/** Starts a relay to `ip:port` that listens on a free port of loopback. */
export const startRelay = async (firstTarget: string): Promise<Relay> => {
	const sockets = new Set<Socket>();
	let target = firstTarget;
	let isCut = false;
	let bytes = 0;

	const forward = (from: Socket, to: Socket) => {
		sockets.add(from);
		from.on('data', chunk => {
			bytes += chunk.length;
			to.write(chunk);
		});
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			sockets.delete(from);
			to.destroy();
		});
		if (isCut) {
			from.pause();
		}
	};

	const server = createServer(socket => {
		const [ip, port] = target.split(':');
		const upstream = connect(Number(port), ip);
		forward(socket, upstream);
		forward(upstream, socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const listenPort = typeof bound === 'object' ? bound?.port : undefined;
	return {
		address: `127.0.0.1:${listenPort}`,
		bytes: () => bytes,
		setTarget(next) {
			target = next;
		},
		cut() {
			isCut = true;
			for (const socket of sockets) {
				socket.pause();
			}
		},
		heal() {
			isCut = false;
			for (const socket of sockets) {
				socket.resume();
			}
		},
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
};
