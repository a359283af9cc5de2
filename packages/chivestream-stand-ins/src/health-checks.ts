/** Regular `GET /readyz` requests to a changing list of addresses. */
import {request} from 'undici';

/** Health of a changing list of addresses. */
export type HealthChecks = {
	/** Replaces the list; resolves once each address has been checked. */
	watch: (addresses: string[]) => Promise<void>;
	/** Whether the last check of the address passed. */
	isHealthy: (address: string) => boolean;
	close: () => void;
};

const timeoutMs = 1000;

const passesCheck = async (address: string): Promise<boolean> => {
	try {
		const {statusCode, body} = await request(`http://${address}/readyz`, {headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
};

/** Checks without addresses. */
export const createHealthChecks = (intervalMs: number): HealthChecks => {
	const healthy = new Set<string>();
	let watched: string[] = [];

	const check = async (address: string) => {
		if (await passesCheck(address)) {
			healthy.add(address);
		} else {
			healthy.delete(address);
		}
	};

	const checkAll = async () => {
		await Promise.all(watched.map(async address => check(address)));
	};

	const timer = setInterval(() => {
		void checkAll();
	}, intervalMs);
	timer.unref();

	return {
		async watch(addresses) {
			watched = addresses;
			await checkAll();
		},
		isHealthy: address => healthy.has(address),
		close() {
			clearInterval(timer);
		},
	};
};
