/** Entry hosts and their incarnations. */
import {type Random, randomInteger} from './random.js';

/** An entry host as its settings describe it. */
export type Host = {
	id: string;
	region: string;
	zone: string;
	/** Changes at every start, so that a restarted host is another member. */
	incarnation: string;
	/** `ip:port` of the gRPC service for other entry hosts. */
	peerAddress: string;
	/** `ip:port` of the HTTP service for callers. */
	callerAddress: string;
	/** `ip:port` of the HTTP service for operators. */
	operatorAddress: string;
};

const radix = 36;
const suffixRange = radix ** 4;

/** A name for one run of a host: later starts sort after earlier ones. */
export const createIncarnation = (now: number, random: Random): string => {
	const suffix = randomInteger(random, suffixRange).toString(radix).padStart(4, '0');
	return `${now.toString(radix)}${suffix}`;
};
