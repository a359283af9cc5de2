/**
Job keys. A home key names the entry host incarnation that alone may run it, and the epoch in which it was issued:
`h~<host id>~<incarnation>~<epoch>~<caller's own suffix>`. Every other key is opaque.
*/

/** The part of a home key that says who may run it. */
export type Home = {
	hostId: string;
	incarnation: string;
	epoch: number;
};

const homePrefix = 'h';
const separator = '~';
const maxExtraSuffixParts = 5;

/** Most characters of a job key. */
export const maxKeyLength = 200;

const keyPattern = /^[\w.:~\-]+$/v;
const epochPattern = /^\d{1,9}$/v;

/** Whether a text may serve as a job key. */
export const isValidKey = (key: string): boolean => key.length > 0 && key.length <= maxKeyLength && keyPattern.test(key);

/** The token that callers put before their own suffix. */
export const formatHomeToken = (home: Home): string =>
	[homePrefix, home.hostId, home.incarnation, home.epoch].join(separator);

/** A home key from a token and a suffix of the caller's choice. */
export const createHomeKey = (homeToken: string, suffix: string): string => `${homeToken}${separator}${suffix}`;

/** The home that a key names; undefined for an opaque key. */
export const parseHome = (key: string): Home | undefined => {
	const [prefix, hostId, incarnation, epoch, suffix, ...extraSuffixParts] = key.split(separator);
	if (prefix !== homePrefix || !hostId || !incarnation || !epoch || !suffix || extraSuffixParts.length > maxExtraSuffixParts) {
		return undefined;
	}

	if (!epochPattern.test(epoch)) {
		return undefined;
	}

	return {hostId, incarnation, epoch: Number(epoch)};
};
