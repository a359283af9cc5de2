/** Pool of clients, one for each peer address. */
import {createPeerClient, type PeerClient} from './client.js';

/** Clients by address. */
export type PeerClients = {
	/** Returns the client of an address. It is created on first use. */
	get: (address: string) => PeerClient;
	/** Closes the clients of all other addresses. Their calls in flight continue. */
	retain: (addresses: ReadonlySet<string>) => void;
	/** Closes all clients. */
	close: () => void;
};

/** Creates an empty pool. */
export const createPeerClients = (): PeerClients => {
	const clients = new Map<string, PeerClient>();

	const retain = (addresses: ReadonlySet<string>) => {
		for (const [address, client] of clients) {
			if (!addresses.has(address)) {
				client.close();
				clients.delete(address);
			}
		}
	};

	return {
		get(address) {
			const client = clients.get(address) ?? createPeerClient(address);
			clients.set(address, client);
			return client;
		},
		retain,
		close() {
			retain(new Set());
		},
	};
};
