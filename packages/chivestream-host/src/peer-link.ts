/** The task for one other host: a stream that is opened again whenever it breaks or goes silent. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Outcome} from 'chivestream-dispatch';
import {reachability, type Reachability} from './election.js';
import {
	type HostRecord, type HostStatus, type JobMessage, type PeerReply, type PeerRequest,
} from './messages.js';
import {openStream, type RequestStream} from './peer-service.js';
import {hostTiming, silenceTimeoutMs} from './timing.js';

/** How a job ended that was handed to another host; `lost` where the stream to it broke first. */
export type RemoteOutcome = Outcome | {kind: 'lost'};

/** What a link needs, and what it tells. */
export type PeerLinkOptions = {
	record: HostRecord;
	/** The steady clock, in milliseconds. */
	now: () => number;
	helloContent: () => {host: HostRecord; status: HostStatus};
	/** Called for everything that isn't the outcome of a job. */
	onReply: (link: PeerLink, reply: PeerReply) => void;
	/** Called when the link has come up, broken or been refused. */
	onChange: (link: PeerLink, change: string) => void;
};

/** What the error of a refused connection names. */
const connectionRefusedCode = 'ECONNREFUSED';

/** A link to another host. */
export class PeerLink {
	record: HostRecord;
	status: HostStatus | undefined;
	private readonly options: PeerLinkOptions;
	private readonly pending = new Map<string, (outcome: RemoteOutcome) => void>();
	private readonly controller = new AbortController();
	private stream: RequestStream | undefined;
	private lastReplyTime = Number.NEGATIVE_INFINITY;
	private refusedAt = Number.NEGATIVE_INFINITY;
	private isUp = false;
	private sentDeclarationsVersion = -1;
	/** Ends the present stream if its other end has been silent for too long. */
	private checkSilence: (() => void) | undefined;

	constructor(options: PeerLinkOptions) {
		this.options = options;
		this.record = options.record;
		void this.run();
	}

	/** What is known of the way to the host. */
	reachability(): Reachability {
		if (this.refusedAt > this.lastReplyTime) {
			return reachability.dead;
		}

		return this.options.now() - this.lastReplyTime < this.silenceTimeoutMs() ? reachability.alive : reachability.silent;
	}

	/** When anything was last heard of the host, on the steady clock. */
	lastReplyAt(): number {
		return this.lastReplyTime;
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
	sendStatus(status: HostStatus): void {
		if (this.isUp && (this.pending.size > 0 || status.declarationsVersion !== this.sentDeclarationsVersion)) {
			this.sentDeclarationsVersion = status.declarationsVersion;
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

	private silenceTimeoutMs(): number {
		return silenceTimeoutMs(this.isUp && this.status !== undefined ? this.status.nextInMs : hostTiming.heartbeatMs);
	}

	private send(request: PeerRequest): void {
		if (this.stream?.writable) {
			this.stream.write(request);
		}
	}

	private async run(): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			const reason = await this.runStream(signal);
			const wasUp = this.isUp;
			this.isUp = false;
			this.stream = undefined;
			if (reason.includes(connectionRefusedCode)) {
				this.refusedAt = this.options.now();
			}

			const pending = [...this.pending.values()];
			this.pending.clear();
			for (const settle of pending) {
				settle({kind: 'lost'});
			}

			this.options.onChange(this, reason);
			await sleep(wasUp ? 0 : hostTiming.reconnectDelayMs);
		}
	}

	/** Opens a stream and stays until it has ended; gives the reason. */
	private async runStream(signal: AbortSignal): Promise<string> {
		const {now} = this.options;
		const {stream, close} = openStream(this.record.address);
		this.stream = stream;
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
				if (now() - lastStreamReplyAt > this.silenceTimeoutMs()) {
					finish('silent');
				}
			};

			signal.addEventListener('abort', abort);
			stream.on('data', (reply: PeerReply) => {
				lastStreamReplyAt = now();
				this.lastReplyTime = lastStreamReplyAt;
				this.handleReply(reply);
			});
			stream.on('error', error => {
				finish(error.message);
			});
			stream.on('end', () => {
				finish('ended');
			});
			this.send({type: 'hello', ...this.options.helloContent()});
		});
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
			const settle = this.pending.get(key);
			this.pending.delete(key);
			settle?.(reply.outcome);
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
