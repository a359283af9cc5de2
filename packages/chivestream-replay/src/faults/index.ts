/** Runs the fault cases on real processes. */

/** What to run. */
export type FaultOptions = {
	faults: string;
	seed: number;
	json: boolean;
};

const notBuiltExitCode = 2;

/** Runs the cases that the options ask for. Returns the exit code. */
export const runFaults = async (options: FaultOptions): Promise<number> => {
	console.error(`--faults ${options.faults} is not built in yet`);
	return notBuiltExitCode;
};
