/** One gRPC connection to one entry host, opened anew when an attempt to connect hangs. */
import {Client, credentials} from '@grpc/grpc-js';
import {clientOptions} from './channel-options.js';

const connectTimeoutMs = 500;

/** A connection that can be waited for. */
export type Connection = {
	/** The client once connected; undefined if that fails by the deadline or the limit for one attempt. */
	ready: (deadline: number) => Promise<Client | undefined>;
	/** Ends the connection; calls in flight run on to their own deadlines. */
	close: () => void;
};

const waitForReady = async (client: Client, deadline: number): Promise<boolean> => new Promise(resolve => {
	client.waitForReady(new Date(deadline), error => {
		resolve(error === undefined);
	});
});

/** Creates a connection to `ip:port`; connects at the first use. */
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
