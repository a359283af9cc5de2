/** Streams that other hosts have opened to this one: their jobs, and what this host tells them. */
import {type Outcome} from 'chivestream-dispatch';
import {
	type HostRecord, type HostStatus, type JobMessage, type Reply, type Request,
} from './messages.js';
import {type ReplyStream} from './peer-service.js';
import {hostTiming} from './timing.js';

/** What the server side needs, and what it tells. */
export type PeerServerOptions = {
	now: () => number;
	/** What a host that has just opened a stream is told. */
	greet: (to: HostRecord) => Reply[];
	describeSelf: () => HostStatus;
	/** How long after a status a host is told the next one, in milliseconds. */
	nextInMs: (to: HostRecord) => number;
	noteHost: (host: HostRecord) => void;
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
	heardAt: number;
	/** When its next status is due. */
	statusDueAt: number;
	jobs: Set<string>;
	isOver: boolean;
};

/** All streams of other hosts. */
export class PeerServer {
	private readonly options: PeerServerOptions;
	private readonly attachments = new Set<Attachment>();
	/** The stream by which each job came last. */
	private readonly origins = new Map<string, Attachment>();

	constructor(options: PeerServerOptions) {
		this.options = options;
	}

	/** Takes a stream until it ends. */
	take(stream: ReplyStream): void {
		const attachment: Attachment = {
			stream, host: undefined, declarationsVersion: undefined, heardAt: this.options.now(), statusDueAt: Infinity, jobs: new Set(), isOver: false,
		};
		this.attachments.add(attachment);
		const finish = () => {
			this.finish(attachment);
		};

		stream.on('data', (request: Request) => {
			attachment.heardAt = this.options.now();
			this.takeRequest(attachment, request);
		});
		stream.on('error', finish);
		stream.on('end', finish);
		stream.on('close', finish);
		stream.on('cancelled', finish);
	}

	/** Sends a message on every stream. */
	tell(reply: Reply): void {
		for (const attachment of this.attachments) {
			this.send(attachment, reply);
		}
	}

	/** Sends the status on every stream at once, or only where it is due. */
	tellStatus(isNews: boolean): void {
		const now = this.options.now();
		let status: HostStatus | undefined;
		for (const attachment of this.attachments) {
			const {host} = attachment;
			if (host !== undefined && (isNews || now >= attachment.statusDueAt)) {
				status ??= this.options.describeSelf();
				const nextInMs = this.options.nextInMs(host);
				attachment.statusDueAt = now + nextInMs - timerToleranceMs;
				this.send(attachment, {type: 'status', status: {...status, nextInMs}});
			}
		}
	}

	/** Sends a message to the hosts whose declarations are older. */
	tellOlder(version: number, reply: Reply): void {
		for (const attachment of this.attachments) {
			if ((attachment.declarationsVersion ?? version) < version) {
				this.send(attachment, reply);
			}
		}
	}

	/** Sends a message to the hosts of a zone. */
	tellZone(zone: string, reply: Reply): void {
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
			if (attachment.jobs.size > 0 && now - attachment.heardAt > hostTiming.originSilenceMs) {
				attachment.stream.destroy();
				this.finish(attachment, 0);
			}
		}
	}

	private send(attachment: Attachment, reply: Reply): void {
		if (!attachment.isOver && attachment.stream.writable) {
			attachment.stream.write(reply);
		}
	}

	private takeRequest(attachment: Attachment, request: Request): void {
		switch (request.type) {
			case 'hello': {
				attachment.host = request.host;
				attachment.declarationsVersion = request.status.declarationsVersion;
				attachment.statusDueAt = this.options.now();
				this.options.noteHost(request.host);
				for (const reply of this.options.greet(request.host)) {
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
				if (this.origins.get(request.id) === attachment) {
					this.options.cancel(request.id);
				}

				break;
			}
		}
	}

	private submit(attachment: Attachment, job: JobMessage): void {
		const {id, submission} = job;
		attachment.jobs.add(id);
		this.origins.set(id, attachment);
		this.options.submit(job, outcome => {
			attachment.jobs.delete(id);
			if (this.origins.get(id) === attachment) {
				this.origins.delete(id);
			}

			this.send(attachment, {
				type: 'settled', id, submission, outcome,
			});
		});
	}

	/** A stream has ended: its jobs go on for a moment, in case their host opens another. */
	private finish(attachment: Attachment, graceMs: number = hostTiming.originSilenceMs): void {
		if (attachment.isOver) {
			return;
		}

		attachment.isOver = true;
		this.attachments.delete(attachment);
		const drop = () => {
			for (const id of attachment.jobs) {
				if (this.origins.get(id) === attachment) {
					this.origins.delete(id);
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
