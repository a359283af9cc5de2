/** Handlers for the requests of other entry hosts. */
import {
	type Configuration, type Host, type JobAnswer, type KeyStatus,
} from 'chivestream-core';
import {type Follower} from 'chivestream-configuration';
import {answerPeerRequest as answerOperatorRequest, type LocalSource} from 'chivestream-operator';
import {type PeerHandlers} from 'chivestream-peer';
import {type Scheduler} from 'chivestream-placement';
import {type JobRouter} from './job-router.js';
import {parseDemand, parseGrants} from './lending.js';
import {answerPeerRequest} from './peer-request.js';

/** Components of the host that the handlers use. */
export type PeerHandlersOptions = {
	self: Host;
	router: JobRouter;
	scheduler: Scheduler;
	follower: Follower;
	operatorSource: LocalSource;
	configuration: () => Configuration | undefined;
};

const answerFromStatus = (status: KeyStatus): JobAnswer | undefined => status.kind === 'answered' ? status.answer : undefined;

/** Creates the handlers of one host. Malformed requests throw. */
export const createPeerHandlers = ({
	self, router, scheduler, follower, operatorSource, configuration,
}: PeerHandlersOptions): PeerHandlers => ({
	submit: router.submitForwarded,
	fetch: async (key, waitDeadline) => answerFromStatus(await router.fetchLocal(key, waitDeadline)),
	cancel: async key => answerFromStatus(await router.cancelLocal(key)),
	lend: (borrowerId, demand) => JSON.stringify(scheduler.lend(borrowerId, parseDemand(demand))),
	reclaim(borrowerId, grants) {
		scheduler.reclaim(borrowerId, parseGrants(grants));
	},
	readConfiguration: configuration,
	query: async request => answerPeerRequest(request, {
		fetch: router.fetchLocal,
		cancel: router.cancelLocal,
		operator: text => answerOperatorRequest(operatorSource, text),
		state: () => ({
			hostId: self.id, zone: self.zone, isProven: follower.isProven, state: follower.held,
		}),
		hold: async (offset, records, deadline) => follower.hold(offset, records, deadline),
		version: () => configuration()?.version ?? -1,
		extend: scheduler.extend,
	}),
});
