/** Addresses that were free a moment ago, for programs that have to know one another's before they start. */
import {createServer, type Server} from 'node:net';
import {anyLoopbackAddress, listenOn} from '../service.js';

const closeServer = async (server: Server): Promise<void> => new Promise(resolve => {
	server.close(() => {
		resolve();
	});
});

/** Different free `ip:port` addresses on loopback, chosen by the system. */
export const findFreeAddresses = async (count: number): Promise<string[]> => {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => listenOn(server, anyLoopbackAddress)));
	await Promise.all(servers.map(async server => closeServer(server)));
	return addresses;
};
