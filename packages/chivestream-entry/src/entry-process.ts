/** The entry host as a process: its servers, its external connections and its planned stop. */
import {
	createIncarnation,
	createRandom,
	Failure,
	failureCode,
	splitAddress,
	systemClock,
	type Host,
	type Logger,
} from 'chivestream-core';
import {startCallerService, type CallerHandlers} from 'chivestream-caller';
import {readDeclarations} from 'chivestream-configuration';
import {createMinionClient} from 'chivestream-minion';
import {createOperatorService} from 'chivestream-operator';
import {createPeerClients, startPeerService, type PeerHandlers} from 'chivestream-peer';
import {createHostList, createLog, streamName} from 'chivestream-log';
import {loadTls, type EntrySettings} from 'chivestream-settings';
import {createWorkerClient} from 'chivestream-worker';
import {updateTargetConnections, createAttemptExecutor} from './attempts.js';
import {createEntryHost, type EntryHost} from './entry-host.js';

/** Addresses on which a process listens, as `ip:port`. */
export type ProcessAddresses = {
	caller: string;
	peer: string;
	operator: string;
};

/** A running entry process. */
export type EntryProcess = {
	host: Host;
	addresses: ProcessAddresses;
	/** Performs a planned stop, then closes all servers and connections. */
	stop: () => Promise<void>;
};

const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 65_000;
const maxConnections = 20_000;

const notReady = (step: string): Failure => new Failure(failureCode.notReady, 'this host is starting', {step, peer: 'self'});

/** Creates handlers that refuse requests until the host exists, because it needs the ports on which the servers listen. */
const createDeferredHandlers = (host: () => EntryHost | undefined) => {
	const requireHost = (step: string): EntryHost => {
		const current = host();
		if (!current) {
			throw notReady(step);
		}

		return current;
	};

	const caller: CallerHandlers = {
		submit: async job => requireHost('submit').callerHandlers.submit(job),
		fetch: async (key, deadline) => requireHost('fetch').callerHandlers.fetch(key, deadline),
		cancel: async key => requireHost('cancel').callerHandlers.cancel(key),
		homeToken: () => host()?.callerHandlers.homeToken(),
		isReady: () => host()?.callerHandlers.isReady() ?? false,
		configurationVersion: () => host()?.callerHandlers.configurationVersion(),
		reachVersion: async (version, deadline) => requireHost('reach-version').callerHandlers.reachVersion(version, deadline),
		metrics: async () => requireHost('metrics').callerHandlers.metrics(),
	};
	const peer: PeerHandlers = {
		submit: async job => requireHost('submit').peerHandlers.submit(job),
		fetch: async (key, deadline) => requireHost('fetch').peerHandlers.fetch(key, deadline),
		cancel: async key => requireHost('cancel').peerHandlers.cancel(key),
		lend: (borrowerId, demand) => requireHost('lend').peerHandlers.lend(borrowerId, demand),
		reclaim(borrowerId, grants) {
			requireHost('reclaim').peerHandlers.reclaim(borrowerId, grants);
		},
		readConfiguration: () => requireHost('read-configuration').peerHandlers.readConfiguration(),
		query: async request => requireHost('query').peerHandlers.query(request),
	};
	return {
		caller,
		peer,
		membership: {
			receive: (request: Parameters<EntryHost['membership']['receive']>[0]) => requireHost('heartbeat').membership.receive(request),
		},
	};
};

/** Loads the key and certificate for callers and operators; undefined if the settings name none. Throws if they are invalid. */
const readTls = async ({tls}: EntrySettings) => {
	if (!tls) {
		return undefined;
	}

	const loaded = await loadTls(tls, systemClock.now());
	if (loaded.isErr()) {
		throw loaded.error;
	}

	return loaded.value;
};

/**
Starts an entry host with the given settings; resolves once all its servers listen. Rejects if the TLS files are invalid or
a server can't listen.
*/
export const startEntryProcess = async (settings: EntrySettings, logger: Logger): Promise<EntryProcess> => {
	const clock = systemClock;
	// Two starts within one millisecond must get different incarnations, so the seed does not depend on the clock alone.
	const random = createRandom(Math.floor(Math.random() * (2 ** 31)));
	const running: {host?: EntryHost} = {};
	const handlers = createDeferredHandlers(() => running.host);
	const tls = await readTls(settings);
	const callerListen = splitAddress(settings.listen.caller);
	const callerService = await startCallerService(handlers.caller, {
		...callerListen,
		maxBodyBytes: settings.limits.maxBodyBytes,
		requestTimeoutMs,
		keepAliveTimeoutMs,
		maxConnections,
		now: clock.now,
		tls,
	});
	const peerService = await startPeerService({listen: settings.listen.peer, handlers: handlers.peer, membership: handlers.membership});

	const self: Host = {
		...settings.host,
		incarnation: createIncarnation(clock.now(), random),
		peerAddress: settings.advertise.peer ?? peerService.address,
		callerAddress: settings.advertise.caller ?? callerService.address,
		operatorAddress: settings.advertise.operator ?? settings.listen.operator,
	};
	const operatorListen = splitAddress(settings.listen.operator);
	const log = createLog({urls: settings.platform.logs, requestTimeoutMs: settings.limits.platformRequestMs});
	const hostList = createHostList({url: settings.platform.hosts, requestTimeoutMs: settings.limits.platformRequestMs});
	const minions = createMinionClient();
	const workers = createWorkerClient({holder: `${self.id}/${self.incarnation}`, clock, logger});
	const host = createEntryHost({
		self,
		clock,
		random,
		logger,
		limits: settings.limits,
		seeds: settings.peers,
		links: {
			configurationStream: log.stream(streamName.configuration),
			claimsStream: log.stream(streamName.claims),
			listHosts: hostList.list,
			peers: createPeerClients(),
			onDeclarations(declarations) {
				void updateTargetConnections(declarations, minions, workers);
			},
			runAttempt: createAttemptExecutor(minions, workers),
		},
	});
	running.host = host;
	host.start();
	const operatorService = createOperatorService(host.operatorSource, {
		token: settings.operatorToken,
		checkDeclarations: text => readDeclarations(text, 'declarations', host.follower.held.configuration.declarations.drains)
			.mapErr(failure => [failure.message]),
		logger,
		...(tls && {certificate: {key: tls.key, certificate: tls.cert, authority: tls.ca}}),
	});
	const operatorPort = await operatorService.listen(operatorListen.port, operatorListen.host);
	const operatorAddress = `${operatorListen.host}:${operatorPort}`;
	self.operatorAddress = settings.advertise.operator ?? operatorAddress;
	logger.info('listening', {
		step: 'start', peer: self.id, caller: callerService.address, peerService: peerService.address,
	});

	return {
		host: self,
		addresses: {caller: callerService.address, peer: peerService.address, operator: operatorAddress},
		async stop() {
			await host.drain();
			await callerService.close();
			await operatorService.close();
			await host.close();
			await peerService.close();
			await minions.close();
			await workers.close();
			await log.close();
			await hostList.close();
			logger.info('left', {step: 'stop', peer: self.id});
		},
	};
};
