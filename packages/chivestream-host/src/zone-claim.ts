/** This host's part in its zone: whether it dispatches, follows another host that does, or waits. */
import {createRandom, randomInteger} from 'chivestream-core';
import {type MinionRecord} from 'chivestream-dispatch';
import {DispatchService, type DispatchServiceOptions} from './dispatch-service.js';
import {
	chooseDispatcher, contact, type Candidate, type Choice,
} from './election.js';
import {type Report} from './host-log.js';
import {type HostRecord} from './messages.js';
import {hostTiming} from './timing.js';

/** What the claim needs, and what it tells. */
export type ZoneClaimOptions = Pick<DispatchServiceOptions, 'leaseMs' | 'farFactor' | 'otherZones'> & {
	self: HostRecord;
	/** The steady clock, in milliseconds. */
	now: () => number;
	report: Report;
	isLeaving: () => boolean;
	/** The other hosts of the zone. */
	candidates: () => Candidate[];
	canReachStore: () => boolean;
	/** Whether all hosts of the zone that are known have been heard of or are dead. */
	hasHeardZone: () => boolean;
	/** Registered minions of the zone. */
	minions: () => MinionRecord[];
	/** Follows the minions' entries while this host dispatches, until the signal aborts. */
	followMinions: (signal: AbortSignal) => void;
	/** Called when this host has begun to dispatch or has ended. */
	noteClaim: () => void;
	/** Called when the claim was lost to another host: everything has to be looked at anew. */
	reconsider: () => void;
};

/** Tokens count milliseconds since this time, so that they fit into 53 bits with their random part. */
const tokenEpoch = Date.UTC(2025, 0, 1);

/** Values of the random part of a token, which tells hosts apart that claim in the same millisecond. */
const tokenSalts = 1024;

/** Tokens of one claim: one for each lifetime of a minion that is met. */
const tokensPerClaim = 64;

/** By how much the next token rises when a minion has seen a higher one, in milliseconds of token time. */
const tokenStepMs = 10_000;

const maxSeed = 2 ** 31;

/** The claim of a host to its zone. */
export class ZoneClaim {
	/** The dispatcher and its minions' tasks, while this host dispatches. */
	service: DispatchService | undefined;
	choice: Choice = {kind: 'none'};
	private readonly options: ZoneClaimOptions;
	private readonly random = createRandom(Date.now() % maxSeed);
	private readonly startedAt: number;
	private minionsController: AbortController | undefined;
	private fencedAt = Number.NEGATIVE_INFINITY;
	private tokenOffsetMs = 0;

	constructor(options: ZoneClaimOptions) {
		this.options = options;
		this.startedAt = options.now();
	}

	/** The token under which this host dispatches; 0 when it doesn't. */
	get token(): number {
		return this.service?.token ?? 0;
	}

	/** Chooses the zone's dispatcher anew, and takes or gives up the claim. */
	evaluate(): void {
		const {self, isLeaving, now} = this.options;
		const others = this.options.candidates();
		const canReachStore = this.options.canReachStore();
		const choice = chooseDispatcher({
			record: self, claim: this.token, isLeaving: isLeaving(), contact: contact.alive,
		}, others, canReachStore);
		if (nameOf(choice) !== nameOf(this.choice)) {
			this.options.report('dispatcher-chosen', {
				choice: choice.kind,
				dispatcher: choice.kind === 'follow' ? choice.record.name : undefined,
				canReachStore,
				others: others.map(other => `${other.record.name} ${other.contact} ${other.claim}`),
			});
		}

		this.choice = choice;
		if (this.service !== undefined && !(choice.kind === 'follow' && choice.record.name === self.name)) {
			this.end('another host dispatches');
		}

		const hasGathered = now() > this.startedAt + hostTiming.gatherMs || this.options.hasHeardZone();
		const isYielding = now() < this.fencedAt + hostTiming.yieldMs;
		if (choice.kind === 'claim' && hasGathered && !isYielding) {
			this.begin();
		}
	}

	/** Stops dispatching; what runs is left to the next dispatcher, and jobs are given back to their hosts. */
	end(reason: string): void {
		const {service} = this;
		if (service === undefined) {
			return;
		}

		this.options.report('dispatching-ended', {token: service.token, reason});
		this.service = undefined;
		this.minionsController?.abort();
		this.options.noteClaim();
		service.release();
	}

	private begin(): void {
		const {self, now, report, leaseMs, farFactor, otherZones} = this.options;
		const tokenTime = Date.now() - tokenEpoch + this.tokenOffsetMs;
		const token = ((tokenTime * tokenSalts) + randomInteger(this.random, tokenSalts)) * tokensPerClaim;
		const service = new DispatchService({
			token,
			leaseMs,
			farFactor,
			now,
			random: this.random,
			report,
			otherZones,
			noteFenced: () => {
				this.noteFenced(service);
			},
		});
		const minions = this.options.minions();
		report('dispatching', {token, minions: minions.length});
		this.service = service;
		this.choice = {kind: 'follow', record: self};
		service.setMinions(minions);
		this.minionsController = new AbortController();
		this.options.followMinions(this.minionsController.signal);
		this.options.noteClaim();
	}

	/** A minion has seen a higher token: another host of the zone dispatches as well. */
	private noteFenced(service: DispatchService): void {
		if (this.service !== service) {
			return;
		}

		const others = this.options.candidates();
		const alive = others.filter(other => other.contact === contact.alive).length;
		const isCutOff = alive === 0 && others.length > 0;
		this.tokenOffsetMs += tokenStepMs;
		if (isCutOff) {
			this.fencedAt = this.options.now();
		}

		this.end(isCutOff ? 'fenced off by a host that is out of reach' : 'a minion has seen a higher token');
		this.options.reconsider();
	}
}

const nameOf = (choice: Choice): string => choice.kind === 'follow' ? choice.record.name : `(${choice.kind})`;
