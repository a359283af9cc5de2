/**
Job keys. A home key names the only entry host incarnation that may run its job, and the epoch in which it was issued:
`h~<host id>~<incarnation>~<epoch>~<suffix chosen by the caller>`. Every other key is opaque.
*/

/** The entry host incarnation and epoch in a home key. */
export type Home = {
	hostId: string;
	incarnation: string;
	epoch: number;
};

const homePrefix = 'h';
const separator = '~';
/** Most separators that the caller's suffix may contain. */
const maxExtraSuffixParts = 5;

/** Maximum number of characters of a job key. */
export const maxKeyLength = 200;

const keyPattern = /^[\w.:~\-]+$/v;
const epochPattern = /^\d{1,9}$/v;

/** Whether a text is a valid job key. */
export const isValidKey = (key: string): boolean => key.length > 0 && key.length <= maxKeyLength && keyPattern.test(key);

/** Formats the home token, to which callers append a separator and their suffix. */
export const formatHomeToken = (home: Home): string =>
	[homePrefix, home.hostId, home.incarnation, home.epoch].join(separator);

/** Creates a home key from a home token and the caller's suffix. */
export const createHomeKey = (homeToken: string, suffix: string): string => `${homeToken}${separator}${suffix}`;

/** Parses the home of a key; undefined for an opaque key. */
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
