/** In-memory links between all endpoints of a run; faults make them lose, delay or duplicate messages. */
import {waitUntil, type Clock, type Random} from 'chivestream-core';

/** One end of a link: a host, a minion, the platform or the callers. */
export type Endpoint = {
	name: string;
	zone: string;
};

/** Returns whether messages in this direction are lost. */
export type Cut = (from: Endpoint, to: Endpoint) => boolean;

/** Probability of each fault per message, between 0 and 1. */
export type LinkFaults = {
	lostAnswers: number;
	delays: number;
	duplicates: number;
};

/** The links of a run. */
export type Links = {
	faults: LinkFaults;
	/** Cuts in force. */
	cuts: Set<Cut>;
	isCut: Cut;
	/** Transmits a message one way; resolves on its arrival with true, or with false if a cut loses it. */
	transmit: (from: Endpoint, to: Endpoint) => Promise<boolean>;
	/** Draws whether the next answer is lost. */
	losesAnswer: () => boolean;
	/** Draws whether the next request is delivered twice. */
	isDuplicated: () => boolean;
};

/** The services of the platform, such as the log. */
export const platformEndpoint: Endpoint = {name: 'log', zone: 'platform'};

/** All callers; the balancer connects them to every zone. */
export const callerEndpoint: Endpoint = {name: 'caller', zone: 'callers'};

const sameZoneLatencyMs = 0.3;
const crossZoneLatencyMs = 1.5;
const callerLatencyMs = 3;
const maxJitterShare = 0.5;
const maxDelayMs = 1500;

/** Links without faults. */
export const createLinks = (clock: Clock, random: Random): Links => {
	const faults: LinkFaults = {lostAnswers: 0, delays: 0, duplicates: 0};
	const cuts = new Set<Cut>();
	const isCut: Cut = (from, to) => [...cuts].some(cut => cut(from, to));

	const baseLatencyMs = (from: Endpoint, to: Endpoint) => {
		if (from.zone === callerEndpoint.zone || to.zone === callerEndpoint.zone) {
			return callerLatencyMs;
		}

		return from.zone === to.zone ? sameZoneLatencyMs : crossZoneLatencyMs;
	};

	return {
		faults,
		cuts,
		isCut,
		async transmit(from, to) {
			const delayMs = random() < faults.delays ? random() * maxDelayMs : 0;
			const transitMs = (baseLatencyMs(from, to) * (1 + (random() * maxJitterShare))) + delayMs;
			if (isCut(from, to)) {
				return false;
			}

			await waitUntil(clock, clock.now() + transitMs);
			return !isCut(from, to);
		},
		losesAnswer: () => random() < faults.lostAnswers,
		isDuplicated: () => random() < faults.duplicates,
	};
};
