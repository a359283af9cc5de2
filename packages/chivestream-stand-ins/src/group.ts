/** Several minion or worker stand-ins in one process, each at its own address. */

/** What the members of a group have in common, and how they differ. */
export type GroupOptions = {
	id?: string;
	count: number;
	speed?: number;
	/** Speeds of the members, used in turn. */
	speeds?: number[];
	seed: number;
};

type Member = {
	address: string;
	close: () => Promise<void>;
};

/** A running group. */
export type Group = {
	/** Address of the first member. */
	address: string;
	addresses: string[];
	close: () => Promise<void>;
};

/** Starts the members as `ID-0`, `ID-1` and so on; a group of one keeps its id as given. */
export const startGroup = async <Options extends GroupOptions>(
	options: Options,
	startMember: (options: Options) => Promise<Member>,
): Promise<Group> => {
	const {
		count, speeds, id, seed, speed,
	} = options;
	const members = await Promise.all(Array.from({length: count}, async (_, index) => startMember({
		...options,
		id: count > 1 && id !== undefined ? `${id}-${index}` : id,
		seed: seed + index,
		speed: speeds?.[index % speeds.length] ?? speed,
	})));

	const addresses = members.map(member => member.address);
	return {
		address: addresses[0] ?? '',
		addresses,
		async close() {
			await Promise.all(members.map(async member => member.close()));
		},
	};
};
