/** Puts modules for input and output in place that delegate to a simulated site; hosts must be imported after that. */
import {jest} from '@jest/globals';
import {type SimulatedHttp} from './simulated-http.js';
import {epochMs, type EntryHostConstructor, type SimulatedSite} from './simulated-site.js';

/** The parts of a simulated site to which the modules delegate. */
export type SimulatedParts = {site: SimulatedSite; http: SimulatedHttp};

const real = {setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, now: Date.now};

/** Replaces the modules and the clock, and imports the hosts. */
export const replaceModules = async (parts: () => SimulatedParts): Promise<EntryHostConstructor> => {
	const simulation = () => parts().site.simulation;
	const network = () => parts().site.network;
	jest.unstable_mockModule('node:timers/promises', () => ({setTimeout: async (ms: number) => simulation().sleep(ms)}));
	jest.unstable_mockModule('node:perf_hooks', () => ({performance: {now: () => simulation().steadyTime()}}));
	jest.unstable_mockModule('node:http', () => ({createServer: () => parts().http.createServer()}));
	jest.unstable_mockModule('../peer-service.js', () => ({
		openStream: (address: string) => network().openStream(address),
		serveStreams: async (address: string, accept: never) => network().serveStreams(address, accept),
	}));
	jest.unstable_mockModule('chivestream-platform', async () => ({
		...await import('../../../../platform/src/http-client.js'),
		...await import('../../../../platform/src/caller-format.js'),
		...await import('../../../../platform/src/declarations.js'),
		...await import('../../../../platform/src/minion-client.js'),
		...await import('../../../../platform/src/minion-registry.js'),
		...await import('../../../../platform/src/records.js'),
		...await import('../../../../platform/src/store.js'),
		createMinionClient: (id: string, address: string) => network().createMinionClient(id, address),
		createStoreClient: () => network().createStoreClient(),
	}));
	const {EntryHost} = await import('../host.js');
	Object.assign(globalThis, {
		setTimeout: (run: () => void, ms: number) => ({cancel: simulation().setTimer(run, ms)}),
		clearTimeout(timer: {cancel?: () => void} | undefined) {
			timer?.cancel?.();
		},
	});
	Date.now = () => epochMs + Math.round(simulation().time + simulation().clockStepMs());
	return EntryHost;
};

/** Puts the real clock back in place. */
export const restoreClock = (): void => {
	Object.assign(globalThis, {setTimeout: real.setTimeout, clearTimeout: real.clearTimeout});
	Date.now = real.now;
};
