/** Cancels a job wherever it is: at the host that holds it for its caller, and at the dispatchers that run it. */
import {
	cancelFinding, strongestFinding, type CancelFinding, type CancelledJobs,
} from './cancelled-jobs.js';
import {type Report} from './host-log.js';

/** What a host, or several, have found out about a job that they were asked to cancel. */
export type CancelAnswer = {
	finding: CancelFinding;
	/** Whether every host that was asked has answered. */
	isComplete: boolean;
};

/** Another host that can be asked to cancel a job. */
export type CancelPeer = {
	/** Whether it left an earlier question unanswered. It is asked, but its answer isn't waited for. Left out for a host whose stream ends
	 * when it is silent. */
	isOverdue?: boolean;
	/** Asks it to cancel a job, and if `asksHosts` is true, to ask the hosts that have opened streams to it. Resolves with undefined if there
	 * is no answer within the time, in milliseconds. */
	cancelJob: (id: string, asksHosts: boolean, timeoutMs: number) => Promise<CancelAnswer | undefined>;
};

/** Results of the cancelling of a job. */
export const cancelResult = {
	/** The job has ended as cancelled. */
	cancelled: 'cancelled',
	/** No host knows the job. */
	unknown: 'unknown',
	/** Some host hasn't answered, and the job may go on there. */
	unsettled: 'unsettled',
} as const;

/** A value of `cancelResult`. */
export type CancelResult = (typeof cancelResult)[keyof typeof cancelResult];

/** Dependencies and callbacks of the cancelling of jobs. */
export type JobCancellationOptions = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	report: Report;
	cancelledJobs: CancelledJobs;
	/** Stops a job at the dispatchers of this host; returns whether one had it or runs of it. */
	stopJob: (id: string) => boolean;
	/** Ends a job that this host holds for a caller; returns whether it did. */
	endJob: (id: string) => boolean;
	/** The hosts to which this one has open links. */
	linkedHosts: () => readonly CancelPeer[];
	/** The hosts that have opened streams to this one. */
	attachedHosts: () => readonly CancelPeer[];
	/** Whether the dispatcher of each cell of the local zone is reachable. */
	hasAllDispatchers: () => boolean;
};

/** How long the linked hosts have to answer, in milliseconds. */
const linkedTimeoutMs = 350;

/** How long the linked hosts have to answer after they have asked the hosts attached to them, in milliseconds. */
const forwardedTimeoutMs = 400;

/** How long attached hosts have to answer, in milliseconds. */
const attachedTimeoutMs = 200;

const combine = (answers: ReadonlyArray<CancelAnswer | undefined>): CancelAnswer => ({
	finding: strongestFinding(answers.map(answer => answer?.finding ?? cancelFinding.unknown)),
	isComplete: answers.every(answer => answer?.isComplete === true),
});

/** Decides how to answer the caller. */
export const decideResult = ({finding, isComplete}: CancelAnswer): CancelResult => {
	if (finding === cancelFinding.stopped || (finding === cancelFinding.held && isComplete)) {
		return cancelResult.cancelled;
	}

	// A job that was only held may still run at a dispatcher that hasn't answered.
	return isComplete ? cancelResult.unknown : cancelResult.unsettled;
};

/** Cancels jobs for the callers of this host, and at the request of other hosts. */
export class JobCancellation {
	private readonly options: JobCancellationOptions;

	constructor(options: JobCancellationOptions) {
		this.options = options;
	}

	/** Cancels a job for a caller, wherever it is. Each step has a time-out, so that it takes less than a second. */
	async cancel(id: string): Promise<CancelResult> {
		const {now, report, cancelledJobs, hasAllDispatchers} = this.options;
		const askedAt = now();
		// The dispatcher learns of this before the host's own job ends there as one whose caller has left.
		const linkedAnswers = this.askLinked(id, false, linkedTimeoutMs);
		const here = this.cancelHere(id);
		let answer = combine([here, ...await linkedAnswers]);
		if (answer.finding === cancelFinding.unknown && answer.isComplete) {
			// Between two dispatchers, a job is known only to the host that holds it.
			const answers = await Promise.all([this.askAttached(id), this.askLinked(id, true, forwardedTimeoutMs)]);
			answer = combine(answers.flat());
			answer.isComplete &&= answer.finding !== cancelFinding.unknown || hasAllDispatchers();
		}

		cancelledJobs.record(id, answer.finding);
		const result = decideResult(answer);
		report('job-cancelled', {
			job: id, result, finding: answer.finding, tookMs: Math.round(now() - askedAt),
		});
		return result;
	}

	/** Cancels a job on this host, and if `asksHosts` is true, at the hosts that have opened streams to it; another host has asked for it. */
	async handleRequest(id: string, asksHosts: boolean): Promise<CancelAnswer> {
		const here = this.cancelHere(id);
		return asksHosts && here.finding === cancelFinding.unknown ? combine([here, ...await this.askAttached(id)]) : here;
	}

	/** Cancels a job on this host; a host to which this one has a link has asked for it. */
	cancelHere(id: string): CancelAnswer {
		const {cancelledJobs, stopJob, endJob} = this.options;
		cancelledJobs.record(id, cancelFinding.unknown);
		if (stopJob(id)) {
			cancelledJobs.record(id, cancelFinding.stopped);
		}

		if (endJob(id)) {
			cancelledJobs.record(id, cancelFinding.held);
		}

		return {finding: cancelledJobs.finding(id) ?? cancelFinding.unknown, isComplete: true};
	}

	private async askLinked(id: string, asksHosts: boolean, timeoutMs: number): Promise<Array<CancelAnswer | undefined>> {
		return ask(this.options.linkedHosts(), async peer => peer.cancelJob(id, asksHosts, timeoutMs));
	}

	private async askAttached(id: string): Promise<Array<CancelAnswer | undefined>> {
		return ask(this.options.attachedHosts(), async peer => peer.cancelJob(id, false, attachedTimeoutMs));
	}
}

/** Asks all hosts, and waits for the answers of those that have not left an earlier question unanswered. */
const ask = async (peers: readonly CancelPeer[], send: (peer: CancelPeer) => Promise<CancelAnswer | undefined>): Promise<Array<CancelAnswer | undefined>> => {
	const awaited: Array<Promise<CancelAnswer | undefined>> = [];
	for (const peer of peers) {
		const answer = send(peer);
		if (peer.isOverdue !== true) {
			awaited.push(answer);
		}
	}

	return Promise.all(awaited);
};
