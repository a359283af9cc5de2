/** Addresses of listening servers. */
import {type Server} from 'node:net';

/** `ip:port` of a listening server. Throws a `TypeError` if it does not listen on a TCP port. */
export const boundAddress = (server: Server): string => {
	const address = server.address();
	if (address === null || typeof address === 'string') {
		throw new TypeError('the server is not listening on a TCP port');
	}

	return `${address.address}:${address.port}`;
};

/** Splits an `ip:port` into host and port. */
export const splitAddress = (address: string): {host: string; port: number} => {
	const separatorIndex = address.lastIndexOf(':');
	return {host: address.slice(0, separatorIndex), port: Number(address.slice(separatorIndex + 1))};
};
