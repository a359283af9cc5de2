/** One client for each peer address. */
import {createPeerClient, type PeerClient} from './client.js';

/** Clients by address. */
export type PeerClients = {
	/** The client of an address, created at the first use. */
	get: (address: string) => PeerClient;
	/** Closes the clients of all other addresses; their calls in flight run on. */
	retain: (addresses: ReadonlySet<string>) => void;
	close: () => void;
};

/** Creates an empty set of clients. */
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
