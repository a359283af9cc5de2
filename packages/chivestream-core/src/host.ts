/** Entry hosts and their incarnations. */
import {type Random, randomInteger} from './random.js';

/** An entry host, with the identity and addresses from its settings. */
export type Host = {
	id: string;
	region: string;
	zone: string;
	/** Changes at every start, so that a restarted host counts as another member. */
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

/** Creates a name for one incarnation of a host; the names of later starts sort after those of earlier ones. */
export const createIncarnation = (now: number, random: Random): string => {
	const suffix = randomInteger(random, suffixRange).toString(radix).padStart(4, '0');
	return `${now.toString(radix)}${suffix}`;
};
