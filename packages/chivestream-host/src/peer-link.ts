/** A link to another host: a stream that is reopened whenever it breaks or becomes silent. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {outcomeKind, type Outcome, type Submission} from 'chivestream-dispatch';
import {reachability, type Reachability} from './election.js';
import {parsePeerReply, readTime} from './message-schemas.js';
import {
	type Acknowledgement, type HostRecord, type HostStatus, type JobMessage, type PeerReply, type PeerRequest, type Timestamp,
} from './messages.js';
import {type CancelAnswer} from './job-cancellation.js';
import {openStream, type RequestStream} from './peer-service.js';
import {Questions} from './questions.js';
import {hostTiming, silenceTimeoutMs, timerToleranceMs} from './timing.js';

/**
 * Outcome of a job that was submitted to another host; `lost` if the stream broke before the outcome arrived. No task of the job runs there
 * after `leaseEndsAt`, in milliseconds of the monotonic clock.
 */
export type RemoteOutcome = Outcome | {kind: 'lost'; leaseEndsAt: number};

/** Callbacks of a job that was submitted to another host. */
export type SubmissionCallbacks = Pick<Submission, 'onTaskCrashed'> & {
	/** Called exactly once. */
	settle: (outcome: RemoteOutcome) => void;
};

/** Dependencies and callbacks of a link. */
export type PeerLinkOptions = {
	/** The host to connect to. */
	record: HostRecord;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** Length of the lease on a submitted job, in milliseconds. */
	jobLeaseMs: () => number;
	/** The record and status of this host, which are sent when a stream opens. */
	helloContent: () => {host: HostRecord; status: HostStatus};
	/** Called for each reply except the outcomes of jobs. */
	onReply: (link: PeerLink, reply: PeerReply) => void;
	/** Called with `up` when the link has opened, with `status` when the host's claims, cell count or `isLeaving` have changed, and with
	 * the reason when a stream has ended or couldn't be opened. */
	onChange: (link: PeerLink, change: string) => void;
};

/** Start of the reason for which a stream with an invalid message was closed. */
const invalidMessagePrefix = 'invalid message';

/** Contained in the error message of a refused connection. */
const connectionRefusedCode = 'ECONNREFUSED';

/** Keeps a stream open to another host, submits jobs over it and returns their outcomes. */
export class PeerLink {
	/** The record last received from the host, or before that the one to connect to. */
	record: HostRecord;
	/** The status last received from the host. */
	status: HostStatus | undefined;
	private readonly options: PeerLinkOptions;
	/** Callbacks of submitted jobs, by job ID and submission number. */
	private readonly pending = new Map<string, SubmissionCallbacks>();
	/** Number of outcomes of cancelled submissions that are still to come, by job ID and submission number. */
	private readonly cancelled = new Map<string, number>();
	private readonly cancelQuestions = new Questions<CancelAnswer>();
	private readonly controller = new AbortController();
	private stream: RequestStream | undefined;
	private lastReplyTime = Number.NEGATIVE_INFINITY;
	private refusedAt = Number.NEGATIVE_INFINITY;
	private readonly createdAt: number;
	private lastRequestAt = Number.NEGATIVE_INFINITY;
	/** When the oldest of an unbroken series of pending jobs was submitted. */
	private pendingSince = Number.NEGATIVE_INFINITY;
	private isUp = false;
	/** The `sentAt` of the last message received over the current stream. */
	private lastSentAt: number | undefined;
	private sentDeclarationsVersion = -1;
	private sentClaimsKey = '';
	/** Ends the current stream if its other end has been silent for too long. */
	private checkSilence: (() => void) | undefined;

	constructor(options: PeerLinkOptions) {
		this.options = options;
		this.record = options.record;
		this.createdAt = options.now();
		void this.run();
	}

	/** The reachability of the host, from its latest reply or refusal. */
	reachability(): Reachability {
		if (this.refusedAt > this.lastReplyTime) {
			return reachability.dead;
		}

		return this.options.now() - this.lastReplyTime < this.silenceTimeoutMs() ? reachability.alive : reachability.silent;
	}

	/** When the latest message of the host was received, on the monotonic clock. */
	lastReplyAt(): number {
		return this.lastReplyTime;
	}

	/** How long the host has not replied, in milliseconds; 0 while it is alive. */
	unreachableMs(): number {
		return this.reachability() === reachability.alive ? 0 : this.options.now() - Math.max(this.createdAt, this.lastReplyTime);
	}

	/** Whether a submitted job has no outcome yet. */
	hasPending(): boolean {
		return this.pending.size > 0;
	}

	/** Whether jobs can be submitted. */
	isOpen(): boolean {
		return this.isUp;
	}

	/** Submits a job. */
	submit(job: JobMessage, callbacks: SubmissionCallbacks): void {
		if (this.stream === undefined || !this.isUp) {
			callbacks.settle({kind: 'lost', leaseEndsAt: Number.NEGATIVE_INFINITY});
			return;
		}

		if (this.pending.size === 0) {
			this.pendingSince = this.options.now();
		}

		this.pending.set(`${job.id}/${job.submission}`, callbacks);
		this.send({type: 'submit', job});
	}

	/** Cancels a submission whose caller has disconnected. The same caller may send the job again at once. */
	cancel(id: string, submission: number): void {
		const key = `${id}/${submission}`;
		const callbacks = this.pending.get(key);
		if (callbacks !== undefined) {
			this.pending.delete(key);
			this.cancelled.set(key, (this.cancelled.get(key) ?? 0) + 1);
			callbacks.settle({kind: outcomeKind.abandoned, reason: 'the caller has left'});
			this.send({type: 'cancel', id});
		}
	}

	/** Asks the host to cancel a job at a caller's request; see `CancelPeer.cancelJob`. */
	async cancelJob(id: string, asksHosts: boolean, timeoutMs: number): Promise<CancelAnswer | undefined> {
		return this.cancelQuestions.ask(request => {
			this.send({
				type: 'cancel-job', id, request, asksHosts,
			});
		}, timeoutMs);
	}

	/** Answers the host's question of this number to cancel a job. */
	answerCancelJob(request: number, answer: CancelAnswer): void {
		this.send({type: 'cancel-job-answer', request, ...answer});
	}

	/** Sends this host's status after a change of its claims or of the declarations version, and while jobs are pending, as the other host
	 * drops the jobs of silent hosts. A request that was just sent serves as well. */
	sendStatus(status: HostStatus): void {
		if (!this.isUp) {
			return;
		}

		const hasChanged = status.declarationsVersion !== this.sentDeclarationsVersion || claimsKey(status) !== this.sentClaimsKey;
		const isSilent = this.pending.size > 0 && this.options.now() - this.lastRequestAt >= hostTiming.heartbeatMs - timerToleranceMs;
		if (hasChanged || isSilent) {
			this.sentDeclarationsVersion = status.declarationsVersion;
			this.sentClaimsKey = claimsKey(status);
			this.send({type: 'status', status});
		}
	}

	/** Ends the current stream if it has been silent for too long; it is then reopened. */
	tick(): void {
		this.checkSilence?.();
	}

	close(): void {
		this.controller.abort();
	}

	private silenceTimeoutMs(): number {
		return silenceTimeoutMs(this.isUp && this.status !== undefined ? this.status.nextInMs : hostTiming.heartbeatMs);
	}

	private send(request: PeerRequest): void {
		if (this.stream?.writable) {
			this.lastRequestAt = this.options.now();
			const message: PeerRequest & Acknowledgement = this.lastSentAt === undefined ? request : {...request, acknowledgedSentAt: this.lastSentAt};
			this.stream.write(message);
		}
	}

	private async run(): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			const reason = await this.runStream(signal);
			const wasUp = this.isUp;
			this.isUp = false;
			this.stream = undefined;
			this.cancelQuestions.abandon();
			if (reason.includes(connectionRefusedCode)) {
				this.refusedAt = this.options.now();
			}

			const pending = [...this.pending.values()];
			this.pending.clear();
			this.cancelled.clear();
			// This host has acknowledged no later message of the dispatcher, which counts the lease from when it sent the message.
			const leaseEndsAt = this.lastReplyTime + this.options.jobLeaseMs();
			for (const {settle} of pending) {
				settle({kind: 'lost', leaseEndsAt});
			}

			this.options.onChange(this, reason);
			// A host whose messages are invalid would be connected to again at once, without end.
			await sleep(wasUp && !reason.startsWith(invalidMessagePrefix) ? 0 : hostTiming.reconnectDelayMs);
		}
	}

	/** Opens a stream; resolves with the reason when it has ended. */
	private async runStream(signal: AbortSignal): Promise<string> {
		const {now} = this.options;
		const {stream, close} = openStream(this.record.address);
		this.stream = stream;
		this.lastSentAt = undefined;
		let lastStreamReplyAt = now();
		return new Promise(resolve => {
			let hasEnded = false;
			const finish = (reason: string) => {
				if (!hasEnded) {
					hasEnded = true;
					this.checkSilence = undefined;
					signal.removeEventListener('abort', abort);
					close();
					resolve(reason);
				}
			};

			const abort = () => {
				finish('closed');
			};

			this.checkSilence = () => {
				const isSilent = now() - lastStreamReplyAt > this.silenceTimeoutMs();
				// The host sends its status more often while a job is pending.
				const isPendingSilent = this.pending.size > 0
					&& now() - Math.max(lastStreamReplyAt, this.pendingSince) > silenceTimeoutMs(hostTiming.heartbeatMs);
				if (isSilent || isPendingSilent) {
					finish('silent');
				}
			};

			signal.addEventListener('abort', abort);
			stream.on('data', (reply: PeerReply & Timestamp) => {
				if (hasEnded) {
					// The jobs of this stream count as lost, so nothing of it may be acknowledged.
					return;
				}

				lastStreamReplyAt = now();
				this.lastReplyTime = lastStreamReplyAt;
				try {
					this.lastSentAt = readTime(reply.sentAt) ?? this.lastSentAt;
					this.handleReply(parsePeerReply(reply));
					this.acknowledge(reply);
				} catch (error) {
					finish(`${invalidMessagePrefix}: ${String(error)}`);
				}
			});
			stream.on('error', error => {
				finish(error.message);
			});
			stream.on('end', () => {
				finish('ended');
			});
			const content = this.options.helloContent();
			this.sentDeclarationsVersion = content.status.declarationsVersion;
			this.sentClaimsKey = claimsKey(content.status);
			this.send({type: 'hello', ...content});
		});
	}

	/** Acknowledges a message if the other host waits for that, or if jobs are pending whose lease would get short. */
	private acknowledge(reply: PeerReply): void {
		const isWanted = reply.type === 'status' && reply.isReplyWanted === true;
		const isDue = this.pending.size > 0 && this.options.now() - this.lastRequestAt >= hostTiming.acknowledgementIntervalMs;
		if (isWanted || isDue) {
			this.send({type: 'status', status: this.options.helloContent().status});
		}
	}

	private handleReply(reply: PeerReply): void {
		if (reply.type === 'hello') {
			this.record = reply.host;
			this.status = reply.status;
			this.isUp = true;
			this.options.onReply(this, reply);
			this.options.onChange(this, 'up');
			return;
		}

		if (reply.type === 'settled') {
			const key = `${reply.id}/${reply.submission}`;
			const cancelledBefore = this.cancelled.get(key) ?? 0;
			if (cancelledBefore > 0) {
				if (cancelledBefore === 1) {
					this.cancelled.delete(key);
				} else {
					this.cancelled.set(key, cancelledBefore - 1);
				}

				return;
			}

			const callbacks = this.pending.get(key);
			this.pending.delete(key);
			callbacks?.settle(reply.outcome);
			return;
		}

		if (reply.type === 'task-crashed') {
			this.pending.get(`${reply.id}/${reply.submission}`)?.onTaskCrashed(reply.task, reply.crashes);
			return;
		}

		if (reply.type === 'cancel-job-answer') {
			this.cancelQuestions.answer(reply.request, {finding: reply.finding, isComplete: reply.isComplete});
			return;
		}

		if (reply.type === 'status') {
			const hasChanged = this.status === undefined || claimsKey(this.status) !== claimsKey(reply.status) || this.status.isLeaving !== reply.status.isLeaving;
			this.status = reply.status;
			this.options.onReply(this, reply);
			if (hasChanged) {
				this.options.onChange(this, 'status');
			}

			return;
		}

		this.options.onReply(this, reply);
	}
}

const claimsKey = ({claims, cellCount}: HostStatus): string => `${cellCount} ${claims.map(({cell, token}) => `${cell}:${token}`).join(' ')}`;
