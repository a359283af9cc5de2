/** A TCP relay that counts the bytes it passes on, and can hold them back. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';

/** A running relay. */
export type Relay = {
	address: string;
	bytes: () => number;
	/** New connections go to another `ip:port` from now on. */
	setTarget: (target: string) => void;
	/** Holds all bytes back, as a cut does, without an end of any connection. */
	cut: () => void;
	heal: () => void;
	close: () => Promise<void>;
};

/** Starts a relay to `ip:port` on a free port. */
export const startRelay = async (firstTarget: string): Promise<Relay> => {
	const sockets = new Set<Socket>();
	let target = firstTarget;
	let isCut = false;
	let bytes = 0;

	const pass = (from: Socket, to: Socket) => {
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
		pass(socket, upstream);
		pass(upstream, socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const ownPort = typeof bound === 'object' ? bound?.port : undefined;
	return {
		address: `127.0.0.1:${ownPort}`,
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
