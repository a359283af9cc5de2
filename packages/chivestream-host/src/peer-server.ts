/** Streams that other hosts have opened to this one: receives their jobs, and sends them outcomes, status and updates. */
import {type CellJobs, type Submission, type Withdrawal} from 'chivestream-dispatch';
import {cellName} from './cells.js';
import {type CancelAnswer, type CancelPeer} from './job-cancellation.js';
import {parsePeerRequest, readTime} from './message-schemas.js';
import {
	originOf, type Acknowledgement, type HostRecord, type HostStatus, type JobMessage, type PeerReply, type PeerRequest, type Timestamp,
} from './messages.js';
import {type ReplyStream} from './peer-service.js';
import {type Report} from './host-log.js';
import {Questions} from './questions.js';
import {hostTiming, timerToleranceMs} from './timing.js';

/** Dependencies and callbacks of the peer server. */
export type PeerServerOptions = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** A clock that never runs slower than real time, in milliseconds; see `createElapsedClock`. */
	elapsed: () => number;
	/** Length of the lease on a submitted job, in milliseconds. */
	jobLeaseMs: () => number;
	report: Report;
	/** Messages for a host that has just opened a stream. */
	initialReplies: (to: HostRecord) => PeerReply[];
	/** The status of this host. */
	localStatus: () => HostStatus;
	/** Interval at which a host is sent the status, in milliseconds. */
	nextInMs: (to: HostRecord) => number;
	/** Called with the record of a host that has opened a stream, and with its status, also whenever that has changed. */
	onHost: (host: HostRecord, status: HostStatus) => void;
	/** Whether a host dispatches. It uses the free capacity in each status, and so gets them all. */
	isDispatcher: (host: HostRecord) => boolean;
	/** Submits a job to a local dispatcher; the callbacks receive its outcome and the crashes under its tasks. */
	submit: (job: JobMessage, submission: Omit<Submission, 'number'>) => Withdrawal | undefined;
	/** The jobs of another host's cell that the local dispatchers hold; undefined while there are none, or they don't know all their runs. */
	jobsOfCell: (cell: string) => CellJobs[] | undefined;
	/** Called when the lease on jobs that have waited for it was extended. */
	onLeaseExtended: () => void;
	/** Called when a message of another host has been read that it sent at this time or later, on the monotonic clock. */
	onAnswer: (sentAt: number) => void;
	/** Cancels a job at a caller's request; see `JobCancellation.handleRequest`. */
	cancelJob: (id: string, asksHosts: boolean) => Promise<CancelAnswer>;
};

/** A stream of another host and the state received over it. */
type Attachment = {
	stream: ReplyStream;
	host: HostRecord | undefined;
	/** The version of the declarations that the host has last reported. */
	declarationsVersion: number | undefined;
	lastRequestAt: number;
	lastReplyAt: number;
	/** When the next status must be sent to the host. */
	statusDueAt: number;
	/** Time between messages that was last announced to the host, in milliseconds. It takes this one for lost if it waits much longer. */
	announcedMs: number;
	/** When the lease of all jobs submitted over this stream ends, on the `elapsed` clock. */
	leaseEndsAt: number;
	/** Whether the host was asked to extend that lease and has not answered yet. */
	isReplyAwaited: boolean;
	/** The jobs submitted over this stream that have no outcome yet, by ID. */
	jobs: Map<string, Withdrawal>;
	cancelQuestions: Questions<CancelAnswer>;
	/** The claims that ask for the jobs of their cells, by token, with the name of the cell until they are answered. */
	askingClaims: Map<number, string | undefined>;
	hasEnded: boolean;
};

/** Serves the streams of other hosts. */
export class PeerServer {
	private readonly options: PeerServerOptions;
	private readonly attachments = new Set<Attachment>();

	constructor(options: PeerServerOptions) {
		this.options = options;
	}

	/** Serves a stream until it ends. */
	accept(stream: ReplyStream): void {
		const attachment: Attachment = {
			stream,
			host: undefined,
			declarationsVersion: undefined,
			lastRequestAt: this.options.now(),
			lastReplyAt: Number.NEGATIVE_INFINITY,
			statusDueAt: Infinity,
			announcedMs: 0,
			leaseEndsAt: Number.NEGATIVE_INFINITY,
			isReplyAwaited: false,
			jobs: new Map(),
			cancelQuestions: new Questions(),
			askingClaims: new Map(),
			hasEnded: false,
		};
		this.attachments.add(attachment);
		const finish = () => {
			this.closeAttachment(attachment);
		};

		stream.on('data', (request: PeerRequest & Acknowledgement) => {
			attachment.lastRequestAt = this.options.now();
			try {
				this.handleRequest(attachment, request);
			} catch (error) {
				// A host of another build, or a corrupted message: it costs this stream, not the process.
				this.options.report('peer-message-invalid', {peer: attachment.host?.name, reason: String(error)});
				stream.destroy();
				finish();
			}
		});
		stream.on('error', finish);
		stream.on('end', finish);
		stream.on('close', finish);
		stream.on('cancelled', finish);
	}

	/** The hosts that have opened streams to this one and can be asked to cancel a job. */
	attachedHosts(): CancelPeer[] {
		return [...this.attachments].filter(({host}) => host !== undefined).map(attachment => ({
			isOverdue: attachment.cancelQuestions.isOverdue,
			cancelJob: async (id, _, timeoutMs) => attachment.cancelQuestions.ask(request => {
				this.send(attachment, {type: 'cancel-job', id, request});
			}, timeoutMs),
		}));
	}

	/** Sends a message on every stream. */
	broadcast(reply: PeerReply): void {
		for (const attachment of this.attachments) {
			this.send(attachment, reply);
		}
	}

	/** Sends the status on every stream, or only on those where it is due. Any other message to a host that doesn't dispatch replaces it. */
	sendStatus(isImmediate: boolean): void {
		const now = this.options.now();
		let status: HostStatus | undefined;
		for (const attachment of this.attachments) {
			const {host} = attachment;
			if (host === undefined || (!isImmediate && now < attachment.statusDueAt)) {
				continue;
			}

			const hasJustReplied = now - attachment.lastReplyAt < attachment.announcedMs - timerToleranceMs;
			if (isImmediate || !hasJustReplied || this.options.isDispatcher(host)) {
				const nextInMs = attachment.jobs.size > 0 ? hostTiming.heartbeatMs : this.options.nextInMs(host);
				status ??= this.options.localStatus();
				attachment.statusDueAt = now + nextInMs - timerToleranceMs;
				attachment.announcedMs = nextInMs;
				this.send(attachment, {type: 'status', status: {...status, nextInMs}});
			}
		}
	}

	/** Sends a message to the hosts whose declarations are older than a version. */
	sendToOutdated(version: number, reply: PeerReply): void {
		for (const attachment of this.attachments) {
			if ((attachment.declarationsVersion ?? version) < version) {
				this.send(attachment, reply);
			}
		}
	}

	/** Sends a message to the hosts of a zone. */
	sendToZone(zone: string, reply: PeerReply): void {
		for (const attachment of this.attachments) {
			if (attachment.host?.zone === zone) {
				this.send(attachment, reply);
			}
		}
	}

	/** Sends a message to one host, if it has opened a stream. */
	sendToHost(name: string, reply: PeerReply): void {
		for (const attachment of this.attachments) {
			if (attachment.host?.name === name) {
				this.send(attachment, reply);
			}
		}
	}

	/** Closes silent streams that have pending jobs, and cancels those jobs. Answers the claims that could not be answered before. */
	tick(): void {
		const now = this.options.now();
		for (const attachment of this.attachments) {
			this.answerClaims(attachment);
			if (attachment.jobs.size > 0 && now - attachment.lastRequestAt > hostTiming.submitterTimeoutMs) {
				attachment.stream.destroy();
				this.closeAttachment(attachment, 0);
			}
		}
	}

	private send(attachment: Attachment, reply: PeerReply): void {
		if (!attachment.hasEnded && attachment.stream.writable) {
			attachment.lastReplyAt = this.options.now();
			const message: PeerReply & Timestamp = {...reply, sentAt: this.options.elapsed()};
			attachment.stream.write(message);
		}
	}

	/** Extends the lease on the jobs of a stream: it is counted from when this host sent the message that the other one acknowledges. */
	private extendLease(attachment: Attachment, acknowledgedSentAt: number): void {
		const leaseEndsAt = acknowledgedSentAt + this.options.jobLeaseMs() - hostTiming.jobLeaseMarginMs;
		attachment.leaseEndsAt = Math.max(attachment.leaseEndsAt, leaseEndsAt);
		if (attachment.isReplyAwaited && this.hasFullLease(attachment)) {
			attachment.isReplyAwaited = false;
			this.options.onLeaseExtended();
		}
	}

	private hasFullLease({leaseEndsAt}: Attachment): boolean {
		return leaseEndsAt > this.options.elapsed() + this.options.jobLeaseMs() - hostTiming.jobLeaseRenewalMs;
	}

	private handleRequest(attachment: Attachment, message: PeerRequest & Acknowledgement): void {
		const elapsed = this.options.elapsed();
		// Earlier builds acknowledge nothing.
		const acknowledgedSentAt = readTime(message.acknowledgedSentAt);
		this.extendLease(attachment, Math.min(elapsed, acknowledgedSentAt ?? elapsed));
		if (acknowledgedSentAt !== undefined) {
			this.options.onAnswer(this.options.now() - Math.max(0, elapsed - acknowledgedSentAt));
		}

		const request = parsePeerRequest(message);
		switch (request.type) {
			case 'hello': {
				attachment.host = request.host;
				attachment.declarationsVersion = request.status.declarationsVersion;
				attachment.statusDueAt = this.options.now();
				attachment.announcedMs = this.options.nextInMs(request.host);
				this.options.onHost(request.host, request.status);
				for (const reply of this.options.initialReplies(request.host)) {
					this.send(attachment, reply);
				}

				this.handleClaims(attachment, request.status);
				break;
			}

			case 'status': {
				attachment.declarationsVersion = request.status.declarationsVersion;
				if (attachment.host !== undefined) {
					this.options.onHost(attachment.host, request.status);
				}

				this.handleClaims(attachment, request.status);
				break;
			}

			case 'submit': {
				this.submit(attachment, request.job);
				break;
			}

			case 'cancel': {
				attachment.jobs.get(request.id)?.cancel();
				break;
			}

			case 'cancel-job': {
				void this.cancelJob(attachment, request);
				break;
			}

			case 'cancel-job-answer': {
				attachment.cancelQuestions.answer(request.request, {finding: request.finding, isComplete: request.isComplete});
				break;
			}
		}
	}

	/** Answers each claim once that asks for the jobs of its cell. */
	private handleClaims(attachment: Attachment, {claims, cellCount}: HostStatus): void {
		for (const {cell, token, asksForJobs} of claims) {
			if (asksForJobs === true && attachment.host !== undefined && !attachment.askingClaims.has(token)) {
				attachment.askingClaims.set(token, cellName(attachment.host.zone, cell, cellCount));
			}
		}

		this.answerClaims(attachment);
	}

	private answerClaims(attachment: Attachment): void {
		for (const [claim, cell] of attachment.askingClaims) {
			const jobs = cell === undefined ? undefined : this.options.jobsOfCell(cell);
			if (jobs !== undefined) {
				attachment.askingClaims.set(claim, undefined);
				this.send(attachment, {type: 'jobs-of-cell', claim, jobs});
			}
		}
	}

	private submit(attachment: Attachment, job: JobMessage): void {
		const {id, submission} = job;
		// The host of a pending job must detect quickly that this one is lost.
		attachment.statusDueAt = Math.min(attachment.statusDueAt, this.options.now() + hostTiming.heartbeatMs - timerToleranceMs);
		if (!this.hasFullLease(attachment) && !attachment.isReplyAwaited) {
			attachment.isReplyAwaited = true;
			this.send(attachment, {type: 'status', status: {...this.options.localStatus(), nextInMs: hostTiming.heartbeatMs}, isReplyWanted: true});
		}

		let isSettled = false;
		const withdrawal = this.options.submit(job, {
			...(attachment.host !== undefined && {origin: originOf(attachment.host)}),
			leaseEndsAt: () => this.options.now() + attachment.leaseEndsAt - this.options.elapsed(),
			settle: outcome => {
				isSettled = true;
				attachment.jobs.delete(id);
				this.send(attachment, {
					type: 'settled', id, submission, outcome,
				});
			},
			onTaskCrashed: (task, crashes) => {
				this.send(attachment, {
					type: 'task-crashed', id, submission, task, crashes,
				});
			},
		});
		if (!isSettled && withdrawal !== undefined) {
			attachment.jobs.set(id, withdrawal);
		}
	}

	private async cancelJob(attachment: Attachment, {id, request, asksHosts}: {id: string; request: number; asksHosts: boolean}): Promise<void> {
		this.send(attachment, {type: 'cancel-job-answer', request, ...await this.options.cancelJob(id, asksHosts)});
	}

	/** Removes a stream that has ended. Its jobs are cancelled after a grace period, unless their host has resubmitted them over another
	 * stream by then. */
	private closeAttachment(attachment: Attachment, graceMs: number = hostTiming.submitterTimeoutMs): void {
		if (attachment.hasEnded) {
			return;
		}

		attachment.hasEnded = true;
		attachment.cancelQuestions.abandon();
		this.attachments.delete(attachment);
		const drop = () => {
			for (const withdrawal of attachment.jobs.values()) {
				withdrawal.drop();
			}
		};

		if (graceMs === 0) {
			drop();
		} else {
			setTimeout(drop, graceMs);
		}
	}
}
