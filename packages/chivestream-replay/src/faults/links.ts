/** Links in memory between all parts of a run, which lose, delay and repeat messages at the run's will. */
import {waitUntil, type Clock, type Random} from 'chivestream-core';

/** One end of a link. */
export type Place = {
	name: string;
	zone: string;
};

/** Whether messages from one place to another are lost. */
export type Cut = (from: Place, to: Place) => boolean;

/** Shares of messages that meet with a fault, each between 0 and 1. */
export type LinkFaults = {
	lostAnswers: number;
	delays: number;
	duplicates: number;
};

/** The links of a run. */
export type Links = {
	faults: LinkFaults;
	cuts: Set<Cut>;
	isCut: Cut;
	/** Carries a message one way; false when it is lost. */
	carry: (from: Place, to: Place) => Promise<boolean>;
	/** Draws whether the next answer is lost. */
	losesAnswer: () => boolean;
	/** Draws whether the next message comes twice. */
	isDuplicated: () => boolean;
};

/** The platform's services. */
export const platformPlace: Place = {name: 'log', zone: 'platform'};

/** Callers, who reach every zone through the balancer. */
export const callerPlace: Place = {name: 'caller', zone: 'callers'};

const withinZoneMs = 0.3;
const betweenZonesMs = 1.5;
const callerMs = 3;
const jitterShare = 0.5;
const longestDelayMs = 1500;

/** Links without faults. */
export const createLinks = (clock: Clock, random: Random): Links => {
	const faults: LinkFaults = {lostAnswers: 0, delays: 0, duplicates: 0};
	const cuts = new Set<Cut>();
	const isCut: Cut = (from, to) => [...cuts].some(cut => cut(from, to));

	const latencyMs = (from: Place, to: Place) => {
		if (from.zone === callerPlace.zone || to.zone === callerPlace.zone) {
			return callerMs;
		}

		return from.zone === to.zone ? withinZoneMs : betweenZonesMs;
	};

	return {
		faults,
		cuts,
		isCut,
		async carry(from, to) {
			const delayMs = random() < faults.delays ? random() * longestDelayMs : 0;
			const lengthMs = (latencyMs(from, to) * (1 + (random() * jitterShare))) + delayMs;
			if (isCut(from, to)) {
				return false;
			}

			await waitUntil(clock, clock.now() + lengthMs);
			return !isCut(from, to);
		},
		losesAnswer: () => random() < faults.lostAnswers,
		isDuplicated: () => random() < faults.duplicates,
	};
};
