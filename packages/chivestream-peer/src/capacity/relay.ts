/** A TCP relay that counts the bytes it passes on. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';

/** A running relay. */
export type Relay = {
	address: string;
	bytes: () => number;
	close: () => Promise<void>;
};

/** Starts a relay to `ip:port` on a free port. */
export const startRelay = async (target: string): Promise<Relay> => {
	const [ip, port] = target.split(':');
	const sockets = new Set<Socket>();
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
	};

	const server = createServer(socket => {
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
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
};
