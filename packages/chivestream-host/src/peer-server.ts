/** Streams that other hosts have opened to this one: their jobs, and what this host tells them. */
import {type Outcome} from 'chivestream-dispatch';
import {
	type HostRecord, type HostStatus, type JobMessage, type PeerReply, type PeerRequest,
} from './messages.js';
import {type ReplyStream} from './peer-service.js';
import {hostTiming} from './timing.js';

/** What the server side needs, and what it tells. */
export type PeerServerOptions = {
	now: () => number;
	/** What a host that has just opened a stream is told. */
	initialReplies: (to: HostRecord) => PeerReply[];
	localStatus: () => HostStatus;
	/** How long after a status a host is told the next one, in milliseconds. */
	nextInMs: (to: HostRecord) => number;
	onHost: (host: HostRecord) => void;
	submit: (job: JobMessage, settle: (outcome: Outcome) => void) => void;
	cancel: (id: string) => void;
};

/** A status that is due by so little is sent with those that are due already, in milliseconds. */
const timerToleranceMs = 20;

type Attachment = {
	stream: ReplyStream;
	host: HostRecord | undefined;
	/** The version of the declarations that the host has told of. */
	declarationsVersion: number | undefined;
	lastRequestAt: number;
	/** When its next status is due. */
	statusDueAt: number;
	jobs: Set<string>;
	hasEnded: boolean;
};

/** All streams of other hosts. */
export class PeerServer {
	private readonly options: PeerServerOptions;
	private readonly attachments = new Set<Attachment>();
	/** The stream by which each job came last. */
	private readonly attachmentByJob = new Map<string, Attachment>();

	constructor(options: PeerServerOptions) {
		this.options = options;
	}

	/** Takes a stream until it ends. */
	accept(stream: ReplyStream): void {
		const attachment: Attachment = {
			stream, host: undefined, declarationsVersion: undefined, lastRequestAt: this.options.now(), statusDueAt: Infinity, jobs: new Set(), hasEnded: false,
		};
		this.attachments.add(attachment);
		const finish = () => {
			this.closeAttachment(attachment);
		};

		stream.on('data', (request: PeerRequest) => {
			attachment.lastRequestAt = this.options.now();
			this.handleRequest(attachment, request);
		});
		stream.on('error', finish);
		stream.on('end', finish);
		stream.on('close', finish);
		stream.on('cancelled', finish);
	}

	/** Sends a message on every stream. */
	broadcast(reply: PeerReply): void {
		for (const attachment of this.attachments) {
			this.send(attachment, reply);
		}
	}

	/** Sends the status on every stream at once, or only where it is due. */
	sendStatus(isImmediate: boolean): void {
		const now = this.options.now();
		let status: HostStatus | undefined;
		for (const attachment of this.attachments) {
			const {host} = attachment;
			if (host !== undefined && (isImmediate || now >= attachment.statusDueAt)) {
				status ??= this.options.localStatus();
				const nextInMs = this.options.nextInMs(host);
				attachment.statusDueAt = now + nextInMs - timerToleranceMs;
				this.send(attachment, {type: 'status', status: {...status, nextInMs}});
			}
		}
	}

	/** Sends a message to the hosts whose declarations are older. */
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

	/** Drops streams that have gone silent while jobs came by them. */
	tick(): void {
		const now = this.options.now();
		for (const attachment of this.attachments) {
			if (attachment.jobs.size > 0 && now - attachment.lastRequestAt > hostTiming.submitterTimeoutMs) {
				attachment.stream.destroy();
				this.closeAttachment(attachment, 0);
			}
		}
	}

	private send(attachment: Attachment, reply: PeerReply): void {
		if (!attachment.hasEnded && attachment.stream.writable) {
			attachment.stream.write(reply);
		}
	}

	private handleRequest(attachment: Attachment, request: PeerRequest): void {
		switch (request.type) {
			case 'hello': {
				attachment.host = request.host;
				attachment.declarationsVersion = request.status.declarationsVersion;
				attachment.statusDueAt = this.options.now();
				this.options.onHost(request.host);
				for (const reply of this.options.initialReplies(request.host)) {
					this.send(attachment, reply);
				}

				break;
			}

			case 'status': {
				attachment.declarationsVersion = request.status.declarationsVersion;
				break;
			}

			case 'submit': {
				this.submit(attachment, request.job);
				break;
			}

			case 'cancel': {
				if (this.attachmentByJob.get(request.id) === attachment) {
					this.options.cancel(request.id);
				}

				break;
			}
		}
	}

	private submit(attachment: Attachment, job: JobMessage): void {
		const {id, submission} = job;
		attachment.jobs.add(id);
		this.attachmentByJob.set(id, attachment);
		this.options.submit(job, outcome => {
			attachment.jobs.delete(id);
			if (this.attachmentByJob.get(id) === attachment) {
				this.attachmentByJob.delete(id);
			}

			this.send(attachment, {
				type: 'settled', id, submission, outcome,
			});
		});
	}

	/** A stream has ended: its jobs go on for a moment, in case their host opens another. */
	private closeAttachment(attachment: Attachment, graceMs: number = hostTiming.submitterTimeoutMs): void {
		if (attachment.hasEnded) {
			return;
		}

		attachment.hasEnded = true;
		this.attachments.delete(attachment);
		const drop = () => {
			for (const id of attachment.jobs) {
				if (this.attachmentByJob.get(id) === attachment) {
					this.attachmentByJob.delete(id);
					this.options.cancel(id);
				}
			}
		};

		if (graceMs === 0) {
			drop();
		} else {
			setTimeout(drop, graceMs);
		}
	}
}
