/** What the operators' service asks of this entry host: rows and versions of all hosts, and commands. */
import {
	Failure, failureCode, type Clock, type JobAnswer, type Random,
} from 'chivestream-core';
import {
	changeKind,
	findVersion,
	planChange,
	readDeclarations,
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
	type Gathered,
	type MissingHost,
	type OperatorSource,
	type RowsByTable,
	type Submission,
	type TableName,
} from 'chivestream-operator';
import {
	memberState, type Member, type Membership,
} from 'chivestream-peer';
import {type Stream} from 'chivestream-platform';
import {Err, Ok, type Result} from 'ts-results-es';
import {type HostState, readRows} from './host-rows.js';
import {type JobRouter} from './job-router.js';
import {type PeerCalls} from './peer-calls.js';

/** What the source is made of. */
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
};

const author = 'operator';

const areRows = <Table extends TableName>(rows: unknown[]): rows is Array<RowsByTable[Table]> =>
	rows.every(row => typeof row === 'object' && row !== null);

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

/** The source over one entry host. */
export const createOperatorSource = (options: OperatorSourceOptions): OperatorSource => {
	const {
		state, membership, calls, router, follower, stream,
	} = options;
	const {self} = state;

	/** Every host that should answer: members that have not left, and seeds that were never seen. */
	const listOthers = (): {members: Member[]; unseen: MissingHost[]} => {
		const known = membership.members();
		const knownIds = new Set([self.id, ...known.map(({host}) => host.id)]);
		const unseen = options.seeds
			.filter(({id}) => !knownIds.has(id))
			.map(({id, zone}) => ({host: id, zone, reason: 'never seen since this host started'}));
		return {members: known.filter(member => member.state !== memberState.left), unseen};
	};

	const gatherReplies = async <Item>(ask: (member: Member) => Promise<Item[] | undefined>, own: Item[]): Promise<Gathered<Item>> => {
		const {members, unseen} = listOthers();
		const missing = [...unseen];
		const replies = await Promise.all(members.map(async member => {
			const items = await ask(member);
			if (!items) {
				missing.push({host: member.host.id, zone: member.host.zone, reason: `no answer; last known state: ${member.state}`});
			}

			return items ?? [];
		}));
		return {items: [...own, ...replies.flat()], missing};
	};

	const resolveChange = async (change: ConfigurationChange): Promise<Result<Change, string[]>> => {
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
				const current = follower.held.configuration.declarations;
				return readDeclarations(change.declarations, 'declarations', current.drains)
					.map(declarations => planChange(current, declarations))
					.mapErr(failure => [failure.message]);
			}

			case commandKind.rollback: {
				const found = await findVersion(stream, change.version);
				return found
					.map(({declarations}) => planChange(follower.held.configuration.declarations, declarations))
					.mapErr(failure => [failure.message]);
			}
		}
	};

	const submit = async ({commandId, baseVersion, change}: ConfigurationCommand, deadline: number): Promise<Submission> => {
		const target = await resolveChange(change);
		if (target.isErr()) {
			return invalid(target.error);
		}

		const submission = await submitCommand({...options}, {
			kind: recordKind.command, commandId, baseVersion, author, change: target.value,
		}, deadline);
		return toSubmission(submission);
	};

	const cancelAt = async (member: Member | undefined, key: string, isForced: boolean, deadline: number) => {
		if (member) {
			return calls.ask<'cancel'>(member, {kind: 'cancel', key, isForced}, deadline);
		}

		return router.cancelLocal(key, isForced);
	};

	const findHolder = (key: string): Member | undefined => {
		const owner = router.ownerOf(key);
		return owner && owner.hostId !== self.id ? membership.findMember(owner.hostId) : undefined;
	};

	return {
		self: {host: self.id, zone: self.zone},
		localRows: table => readRows(state, table),
		async gather<Table extends TableName>(table: Table, deadline: number): Promise<Gathered<RowsByTable[Table]>> {
			const ask = async (member: Member) => {
				const rows = await calls.ask<'rows'>(member, {kind: 'rows', table}, deadline);
				return rows && areRows<Table>(rows) ? rows : undefined;
			};

			return gatherReplies(ask, readRows(state, table));
		},
		async cancel(key, mode, deadline): Promise<Result<JobAnswer | undefined, Failure>> {
			const status = await cancelAt(findHolder(key), key, mode === cancelMode.stop, deadline);
			if (!status) {
				return Err(new Failure(failureCode.homeUnreachable, 'the home of the job can\'t be reached', {step: 'cancel-job', peer: key}));
			}

			return Ok(status.kind === 'answered' ? status.answer : undefined);
		},
		configuration: state.configuration,
		async history() {
			const accepted = follower.held.verdicts.filter(({outcome}) => outcome === verdictOutcome.accepted);
			return Ok(accepted.toReversed().map(({version, offset, commandId, summary}) => ({
				version, offset, at: 0, commandId, summary,
			})));
		},
		submit,
		async inForce(deadline) {
			const own = {host: self.id, zone: self.zone, version: state.configuration()?.version ?? -1};
			return gatherReplies(async ({host}) => {
				const member = membership.findMember(host.id);
				const version = member && await calls.ask<'version'>(member, {kind: 'version'}, deadline);
				return version === undefined ? undefined : [{host: host.id, zone: host.zone, version}];
			}, [own]);
		},
	};
};
