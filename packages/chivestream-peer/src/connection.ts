/** GRPC connection to one entry host, which is replaced when an attempt to connect does not succeed in time. */
import {Client, credentials} from '@grpc/grpc-js';
import {clientOptions} from './channel-options.js';

/** Limit for one attempt to connect. */
const connectTimeoutMs = 500;

/** A connection whose readiness can be awaited. */
export type Connection = {
	/** Returns the connected client; undefined if it does not connect by the deadline or within `connectTimeoutMs`. */
	ready: (deadline: number) => Promise<Client | undefined>;
	/** Closes the connection. Calls in flight continue until their own deadlines. */
	close: () => void;
};

const waitForReady = async (client: Client, deadline: number): Promise<boolean> => new Promise(resolve => {
	client.waitForReady(new Date(deadline), error => {
		resolve(error === undefined);
	});
});

/** Creates a connection to `ip:port`, which is established on first use. */
export const createConnection = (address: string): Connection => {
	const open = () => new Client(`ipv4:${address}`, credentials.createInsecure(), clientOptions);
	let current = open();
	let isClosed = false;

	const replaceClient = (hanging: Client) => {
		if (hanging === current && !isClosed) {
			hanging.close();
			current = open();
		}
	};

	return {
		async ready(deadline) {
			const client = current;
			if (isClosed) {
				return undefined;
			}

			const isReady = await waitForReady(client, Math.min(deadline, Date.now() + connectTimeoutMs));
			if (isReady && !isClosed) {
				return client;
			}

			replaceClient(client);
			return undefined;
		},
		close() {
			isClosed = true;
			current.close();
		},
	};
};
