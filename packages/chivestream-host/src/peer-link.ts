/** The task for one other host: a stream that is opened again whenever it breaks or goes silent. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Outcome} from 'chivestream-dispatch';
import {contact, type Contact} from './election.js';
import {
	type HostRecord, type HostStatus, type JobMessage, type Reply, type Request,
} from './messages.js';
import {openStream, type RequestStream} from './peer-service.js';
import {hostTiming, silenceMs} from './timing.js';

/** How a job ended that was handed to another host; `lost` where the stream to it broke first. */
export type RemoteOutcome = Outcome | {kind: 'lost'};

/** What a link needs, and what it tells. */
export type PeerLinkOptions = {
	record: HostRecord;
	/** The steady clock, in milliseconds. */
	now: () => number;
	describeSelf: () => {host: HostRecord; status: HostStatus};
	/** Called for everything that isn't the outcome of a job. */
	noteReply: (link: PeerLink, reply: Reply) => void;
	/** Called when the link has come up, broken or been refused. */
	noteChange: (link: PeerLink, change: string) => void;
};

/** What the error of a refused connection names. */
const refusedCode = 'ECONNREFUSED';

/** A link to another host. */
export class PeerLink {
	record: HostRecord;
	status: HostStatus | undefined;
	private readonly options: PeerLinkOptions;
	private readonly pending = new Map<string, (outcome: RemoteOutcome) => void>();
	private readonly controller = new AbortController();
	private stream: RequestStream | undefined;
	private lastHeardAt = Number.NEGATIVE_INFINITY;
	private refusedAt = Number.NEGATIVE_INFINITY;
	private isUp = false;
	private toldVersion = -1;
	/** Ends the present stream if its other end has been silent for too long. */
	private checkSilence: (() => void) | undefined;

	constructor(options: PeerLinkOptions) {
		this.options = options;
		this.record = options.record;
		void this.run();
	}

	/** What is known of the way to the host. */
	contact(): Contact {
		if (this.refusedAt > this.lastHeardAt) {
			return contact.dead;
		}

		return this.options.now() - this.lastHeardAt < this.silenceMs() ? contact.alive : contact.silent;
	}

	/** When anything was last heard of the host, on the steady clock. */
	heardAt(): number {
		return this.lastHeardAt;
	}

	/** Whether jobs can be handed over. */
	isOpen(): boolean {
		return this.isUp;
	}

	/** Hands a job over; reports its outcome exactly once. */
	submit(job: JobMessage, settle: (outcome: RemoteOutcome) => void): void {
		if (this.stream === undefined || !this.isUp) {
			settle({kind: 'lost'});
			return;
		}

		this.pending.set(`${job.id}/${job.submission}`, settle);
		this.send({type: 'submit', job});
	}

	/** The caller has left. */
	cancel(id: string): void {
		this.send({type: 'cancel', id});
	}

	/** Tells the host's status to the other, which drops the jobs of hosts that say nothing and passes newer declarations on. */
	tell(status: HostStatus): void {
		if (this.isUp && (this.pending.size > 0 || status.declarationsVersion !== this.toldVersion)) {
			this.toldVersion = status.declarationsVersion;
			this.send({type: 'status', status});
		}
	}

	/** Looks for what time has changed. */
	tick(): void {
		this.checkSilence?.();
	}

	close(): void {
		this.controller.abort();
	}

	private silenceMs(): number {
		return silenceMs(this.isUp && this.status !== undefined ? this.status.nextInMs : hostTiming.heartbeatMs);
	}

	private send(request: Request): void {
		if (this.stream?.writable) {
			this.stream.write(request);
		}
	}

	private async run(): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			const reason = await this.attach(signal);
			const wasUp = this.isUp;
			this.isUp = false;
			this.stream = undefined;
			if (reason.includes(refusedCode)) {
				this.refusedAt = this.options.now();
			}

			const pending = [...this.pending.values()];
			this.pending.clear();
			for (const settle of pending) {
				settle({kind: 'lost'});
			}

			this.options.noteChange(this, reason);
			await sleep(wasUp ? 0 : hostTiming.reconnectMs);
		}
	}

	/** Opens a stream and stays until it has ended; gives the reason. */
	private async attach(signal: AbortSignal): Promise<string> {
		const {now} = this.options;
		const {stream, close} = openStream(this.record.address);
		this.stream = stream;
		let heardAt = now();
		return new Promise(resolve => {
			let isOver = false;
			const finish = (reason: string) => {
				if (!isOver) {
					isOver = true;
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
				if (now() - heardAt > this.silenceMs()) {
					finish('silent');
				}
			};

			signal.addEventListener('abort', abort);
			stream.on('data', (reply: Reply) => {
				heardAt = now();
				this.lastHeardAt = heardAt;
				this.take(reply);
			});
			stream.on('error', error => {
				finish(error.message);
			});
			stream.on('end', () => {
				finish('ended');
			});
			this.send({type: 'hello', ...this.options.describeSelf()});
		});
	}

	private take(reply: Reply): void {
		if (reply.type === 'hello') {
			this.record = reply.host;
			this.status = reply.status;
			this.isUp = true;
			this.options.noteReply(this, reply);
			this.options.noteChange(this, 'up');
			return;
		}

		if (reply.type === 'settled') {
			const key = `${reply.id}/${reply.submission}`;
			const settle = this.pending.get(key);
			this.pending.delete(key);
			settle?.(reply.outcome);
			return;
		}

		if (reply.type === 'status') {
			const isNews = this.status === undefined || tokensOf(this.status) !== tokensOf(reply.status) || this.status.isLeaving !== reply.status.isLeaving;
			this.status = reply.status;
			this.options.noteReply(this, reply);
			if (isNews) {
				this.options.noteChange(this, 'status');
			}

			return;
		}

		this.options.noteReply(this, reply);
	}
}

const tokensOf = ({claims, cellCount}: HostStatus): string => `${cellCount} ${claims.map(({cell, token}) => `${cell}:${token}`).join(' ')}`;
