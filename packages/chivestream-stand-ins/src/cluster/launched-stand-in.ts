/** Starts stand-ins as processes of their own. */
import {fileURLToPath} from 'node:url';
import {z} from 'zod';
import {launchProcess, type LaunchedProcess} from './launched-process.js';

/** A stand-in that runs as its own process. */
export type LaunchedStandIn = {
	address: string;
	addresses: string[];
	controlAddress: string;
	process: LaunchedProcess;
};

const readySchema = z.object({
	address: z.string(),
	addresses: z.array(z.string()).default([]),
	controlAddress: z.string().default(''),
});

const script = fileURLToPath(new URL('../../bin/chivestream-stand-in.js', import.meta.url));

/** Starts a stand-in and waits until it is ready. Options are named as on the command line, without dashes. */
export const launchStandIn = async (kind: string, options: Record<string, string | number> = {}): Promise<LaunchedStandIn> => {
	const flags = Object.entries(options).map(([name, value]) => `--${name}=${value}`);
	const process = launchProcess({name: `${kind} stand-in`, script, arguments: [kind, ...flags]});
	const ready = readySchema.parse(JSON.parse(await process.firstLine));
	return {...ready, process};
};
