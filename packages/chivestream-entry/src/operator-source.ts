/** Data source of the operator service on an entry host: table rows, the other hosts to query, and commands. */
import {
	Failure, failureCode, type Clock, type Declarations, type HostHistory, type JobAnswer, type Random,
} from 'chivestream-core';
import {
	changeKind,
	findVersion,
	planChange,
	recordKind,
	submitCommand,
	verdictOutcome,
	type Change,
	type Follower,
	type Submission as CommandSubmission,
} from 'chivestream-configuration';
import {
	cancelMode,
	commandKind,
	submissionOutcome,
	type ConfigurationChange,
	type ConfigurationCommand,
	type OperatorSource,
	type QueryablePeer,
	type Submission,
} from 'chivestream-operator';
import {
	memberState, type Member, type Membership,
} from 'chivestream-peer';
import {type Stream} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {type HostState, readRows} from './host-rows.js';
import {type JobRouter} from './job-router.js';
import {type PeerCalls} from './peer-calls.js';

/** Components of the host that the source uses. */
export type OperatorSourceOptions = {
	state: HostState;
	clock: Clock;
	random: Random;
	membership: Membership;
	calls: PeerCalls;
	router: JobRouter;
	follower: Follower;
	stream: Stream;
	seeds: ReadonlyArray<{id: string; zone: string}>;
	/** Returns what this host has recorded about its objectives. */
	readHistory: () => HostHistory;
};

const author = 'operator';

const invalid = (faults: string[]): Submission => ({outcome: submissionOutcome.invalid, faults});

const toSubmission = (submission: CommandSubmission): Submission => {
	if ('failure' in submission) {
		const isRefused = submission.outcome === 'refused';
		return isRefused ? invalid([submission.failure.message]) : {outcome: submissionOutcome.unknown, failure: submission.failure};
	}

	const {verdict} = submission;
	switch (verdict.outcome) {
		case verdictOutcome.accepted: {
			return {outcome: submissionOutcome.accepted, version: verdict.version, offset: verdict.offset};
		}

		case verdictOutcome.beaten: {
			return {outcome: submissionOutcome.beaten, version: verdict.version};
		}

		case verdictOutcome.invalid: {
			return invalid(verdict.reasons);
		}
	}
};

/** Creates the source of one entry host. */
export const createOperatorSource = (options: OperatorSourceOptions): OperatorSource => {
	const {
		state, membership, calls, router, follower, stream,
	} = options;
	const {self} = state;

	const queryMember = async (member: Member, request: string, deadline: number): Promise<Result<string, Failure>> => {
		const reply = await calls.sendRequest<'operator'>(member, {kind: 'operator', request}, deadline);
		const failure = new Failure(failureCode.connectionFailed, `no answer; last known state: ${member.state}`, {step: 'query', peer: member.host.id});
		return reply === undefined ? Err(failure) : Ok(reply);
	};

	/** Lists every host whose reply is expected: members that have not left, and seeds that this host has never reached. */
	const listPeers = (): QueryablePeer[] => {
		const members = membership.members();
		const knownHostIds = new Set([self.id, ...members.map(({host}) => host.id)]);
		const unseen = options.seeds.filter(({id}) => !knownHostIds.has(id)).map(({id, zone}) => ({
			host: id,
			zone,
			query: async () => Err(new Failure(failureCode.connectionFailed, 'never seen since this host started', {step: 'query', peer: id})),
		}));
		const seen = members.filter(member => member.state !== memberState.left).map(member => ({
			host: member.host.id,
			zone: member.host.zone,
			query: async (request: string, deadline: number) => queryMember(member, request, deadline),
		}));
		return [...seen, ...unseen];
	};

	/** Returns the smallest change if this host holds the base version; otherwise a change that replaces all declarations. */
	const planReplacement = (declarations: Declarations, baseVersion: number): Change => {
		const {version, declarations: current} = follower.held.configuration;
		return version === baseVersion ? planChange(current, declarations) : {kind: changeKind.replace, declarations};
	};

	const resolveChange = async (change: ConfigurationChange, baseVersion: number): Promise<Result<Change, string[]>> => {
		switch (change.kind) {
			case commandKind.drain:
			case commandKind.undrain: {
				return Ok({kind: change.kind, ids: [change.id]});
			}

			case commandKind.limit: {
				return Ok({kind: changeKind.limits, limits: {[change.name]: change.value}});
			}

			case commandKind.quota: {
				return Ok({kind: changeKind.team, team: change.team, maxTasksInFlight: change.maxTasksInFlight});
			}

			case commandKind.weight: {
				return Ok({kind: changeKind.team, team: change.team, weight: change.weight});
			}

			case commandKind.replace: {
				return Ok(planReplacement(change.declarations, baseVersion));
			}

			case commandKind.rollback: {
				const found = await findVersion(stream, change.version);
				return found
					.map(({declarations}) => planReplacement(declarations, baseVersion))
					.mapErr(failure => [failure.message]);
			}
		}
	};

	const submit = async ({commandId, baseVersion, change}: ConfigurationCommand, deadline: number): Promise<Submission> => {
		const target = await resolveChange(change, baseVersion);
		if (target.isErr()) {
			return invalid(target.error);
		}

		const submission = await submitCommand({...options}, {
			kind: recordKind.command, commandId, baseVersion, author, change: target.value,
		}, deadline);
		return toSubmission(submission);
	};

	/** Cancels a job at the host that may run it; resolves with undefined if that host can't be reached. */
	const cancelAtClaimant = async (key: string, isForced: boolean, deadline: number) => {
		const claimant = router.findHostOfKey(key);
		if (!claimant || claimant.hostId === self.id) {
			return router.cancelLocal(key, isForced);
		}

		const member = membership.findMember(claimant.hostId);
		return member && calls.sendRequest<'cancel'>(member, {kind: 'cancel', key, isForced}, deadline);
	};

	return {
		self: {host: self.id, zone: self.zone},
		localRows: table => readRows(state, table),
		localHistory: options.readHistory,
		peers: listPeers,
		async cancel(key, mode, deadline): Promise<Result<JobAnswer | undefined, Failure>> {
			const status = await cancelAtClaimant(key, mode === cancelMode.stop, deadline);
			if (!status) {
				return Err(new Failure(failureCode.homeUnreachable, 'the home of the job can\'t be reached', {step: 'cancel-job', peer: key}));
			}

			return Ok(status.kind === 'answered' ? status.answer : undefined);
		},
		configuration: state.configuration,
		async history() {
			const accepted = follower.held.verdicts.filter(({outcome}) => outcome === verdictOutcome.accepted);
			return Ok(accepted.toReversed().map(({version, offset, commandId, summary}) => ({
				version, offset, commandId, summary,
			})));
		},
		submit,
	};
};
