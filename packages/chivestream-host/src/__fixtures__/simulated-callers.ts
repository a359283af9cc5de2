/** The callers of a simulated site: they send jobs to its hosts, and again after broken connections. */
import {pickRandom, randomInteger, type Random} from 'chivestream-core';
import {outcomeKind, type JobRequest, type Outcome} from 'chivestream-dispatch';
import {type CallerServiceOptions} from '../caller-service.js';
import {type EntryHost} from '../host.js';
import {type HostSettings} from '../settings.js';
import {messageBytes} from './simulated-links.js';
import {type SimulatedNetwork} from './simulated-network.js';
import {type SimulatedProcess, type Simulation} from './simulation.js';

/** A host of a simulated site, with the HTTP service that it has created. */
export type SimulatedHost = {process: SimulatedProcess; entryHost: EntryHost | undefined; service: CallerServiceOptions | undefined; settings: HostSettings};

/** Least and greatest length of time, in milliseconds. */
export type LengthRange = {least: number; most: number};

/** The parts of a site that its callers need. */
export type SimulatedCallersOptions = {
	simulation: Simulation;
	network: SimulatedNetwork;
	random: Random;
	hosts: readonly SimulatedHost[];
	/** As in `SimulatedSiteOptions`. */
	resendsAtOnce: boolean;
	/** As in `SimulatedSiteOptions`. */
	workMs: LengthRange | undefined;
	/** As in `SimulatedSiteOptions`. */
	patienceMs: number | undefined;
	log: (host: string, event: string, fields: Record<string, unknown>) => void;
};

const upstream = 'desk';
const taskMillicores = 14_000;
const resendMs = 1300;
const resendAtOnceMs = 10;
/** Age of a request up to which its caller sends it again at once, in milliseconds. */
const freshRequestMs = 40;
const deadlineMs = 5000;
const maxAttempts = 4;

type Attempt = {host: SimulatedProcess; caller: string; isBroken: boolean; sentAt: number; fail: (delayMs: number, noticedLaterMs?: number) => void};

/** Sends jobs to the hosts. */
export class SimulatedCallers {
	submitted = 0;
	completed = 0;
	private readonly options: SimulatedCallersOptions;
	private readonly workMsByJob = new Map<string, number>();
	private readonly attempts = new Set<Attempt>();

	constructor(options: SimulatedCallersOptions) {
		this.options = options;
	}

	/** Number of requests that wait for an answer of a process. */
	inProgress(process: SimulatedProcess): number {
		return [...this.attempts].filter(attempt => attempt.host === process && !attempt.isBroken).length;
	}

	/** How long a task of a job takes, in milliseconds. */
	workMs(job: string): number {
		return this.workMsByJob.get(job) ?? 0;
	}

	/** Sends a new job to a host. */
	submitNewJob(): void {
		this.submitted += 1;
		const id = this.submitted.toString(16).padStart(16, '0');
		this.workMsByJob.set(id, this.drawWorkMs());
		this.attempt(id, {
			index: randomInteger(this.options.random, this.options.hosts.length), count: 1 + randomInteger(this.options.random, 2), deadline: this.options.simulation.time + deadlineMs, number: 1,
		});
	}

	/** Breaks a share of the connections of callers to a host. */
	failAttempts(process: SimulatedProcess, share: number): void {
		for (const attempt of this.attempts) {
			if (attempt.host === process && this.options.random() < share) {
				attempt.fail(0);
			}
		}
	}

	/** A share of the callers of a host give their connections up, and the host notices it late. */
	halfOpenAttempts(process: SimulatedProcess, share: number, lengthMs: number): void {
		for (const attempt of this.attempts) {
			if (attempt.host === process && this.options.random() < share) {
				attempt.fail(0, lengthMs);
			}
		}
	}

	/** Cuts the paths of a share of the callers to a host silently; both ends go on waiting. */
	cutAttempts(process: SimulatedProcess, share: number, lengthMs: number): void {
		for (const {host, caller} of this.attempts) {
			if (host === process && this.options.random() < share) {
				this.options.network.cut(caller, process.name, lengthMs);
			}
		}
	}

	private drawWorkMs(): number {
		const {random, workMs} = this.options;
		if (workMs !== undefined) {
			return workMs.least + randomInteger(random, workMs.most - workMs.least);
		}

		const isLong = random() < 0.5;
		return 30 + randomInteger(random, isLong ? 2500 : 300);
	}

	/** Sends a job to a host, and again after a broken connection or an answer that leaves open whether it has run. */
	private attempt(id: string, job: {index: number; count: number; deadline: number; number: number}): void {
		const {simulation, network} = this.options;
		const host = this.options.hosts[job.index]!;
		const {process, service} = host;
		this.options.log('-', 'job-sent', {job: id, host: process.name, number: job.number});
		const caller = `caller ${id}`;
		const path = () => network.delay(caller, process.name);
		const resend = (index: number, delayMs: number) => {
			if (job.number < maxAttempts && simulation.time + delayMs < job.deadline) {
				simulation.schedule(delayMs, () => {
					this.attempt(id, {...job, index, number: job.number + 1});
				});
			}
		};

		const anyHost = () => randomInteger(this.options.random, this.options.hosts.length);
		const {patienceMs} = this.options;
		const order = patienceMs === undefined ? undefined : {arrivedAt: 0};
		let cancel: (() => void) | undefined;
		/** Whether the caller has closed its connection; the host reads what was sent before. */
		let hasLeft = false;
		const end = (event: string) => {
			attempt.isBroken = true;
			this.options.log('-', event, {job: id, host: process.name, number: job.number});
			this.attempts.delete(attempt);
		};

		const leave = () => {
			if (!this.attempts.has(attempt)) {
				return;
			}

			hasLeft = true;
			end('caller-left');
			resend(anyHost(), resendMs);
			network.links.transmit({
				from: caller, to: process.name, bytes: messageBytes.control, delayMs: path(), ...(order !== undefined && {order}),
			}, () => {
				cancel?.();
			}, process);
		};

		const attempt: Attempt = {
			host: process,
			caller,
			isBroken: false,
			sentAt: simulation.time,
			fail: (delayMs, noticedLaterMs = 0) => {
				if (attempt.isBroken) {
					return;
				}

				end('caller-connection-broken');
				const isFresh = this.options.resendsAtOnce && simulation.time - attempt.sentAt < freshRequestMs;
				const nearby = this.options.hosts.flatMap(({settings}, index) => settings.host.zone === host.settings.host.zone && index !== job.index ? [index] : []);
				if (isFresh && nearby.length > 0) {
					resend(pickRandom(this.options.random, nearby), delayMs + resendAtOnceMs);
				} else {
					resend(anyHost(), delayMs + resendMs);
				}

				// The host notices the broken connection at a time of its own.
				simulation.schedule(noticedLaterMs + (this.options.random() * resendAtOnceMs), () => {
					cancel?.();
				}, process);
			},
		};
		this.attempts.add(attempt);
		if (!process.isAlive || service === undefined) {
			attempt.fail(path());
			return;
		}

		const answer = (outcome: Outcome) => {
			network.links.transmit({
				from: process.name, to: caller, bytes: messageBytes.callerAnswer, delayMs: path(),
			}, () => {
				if (attempt.isBroken) {
					return;
				}

				this.attempts.delete(attempt);
				if (outcome.kind === outcomeKind.completed) {
					this.completed += 1;
				} else if (outcome.kind === outcomeKind.abandoned) {
					resend(anyHost(), resendMs);
				}
			});
		};

		if (patienceMs !== undefined) {
			simulation.schedule(patienceMs, leave);
		}

		network.links.transmit({
			from: caller, to: process.name, bytes: messageBytes.callerRequest, delayMs: path(), ...(order !== undefined && {order}),
		}, () => {
			if (attempt.isBroken && !hasLeft) {
				return;
			}

			const now = service.now();
			const pending = service.runJob(this.createRequest(id, job.count, {now, deadline: now + (patienceMs ?? job.deadline - attempt.sentAt)}));
			cancel = () => {
				pending.cancel();
			};

			void pending.outcome.then(outcome => {
				answer(outcome);
			});
		}, process);
	}

	private createRequest(id: string, count: number, {now, deadline}: {now: number; deadline: number}): JobRequest {
		return {
			id,
			payload: 'work',
			steps: [{
				count, millicores: taskMillicores, memoryMb: 64, accelerators: 0, estimateMs: this.workMsByJob.get(id)!, dependsOn: [],
			}],
			route: 'r',
			upstream,
			priority: 0,
			maxAttempts: 3,
			objectiveDeadline: Math.min(deadline, now + 3000),
			deadline,
			submission: 0,
			mayHaveRun: false,
		};
	}
}
