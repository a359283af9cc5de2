/** An entry host as a process of its own, under signals. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** The addresses and settings of a host that the soak starts again and again. */
export type HostProcessOptions = {
	name: string;
	zone: string;
	ip: string;
	store: string;
	seeds: readonly string[];
	/** Folder for its settings and log. */
	folder: string;
	/** Path of the program. */
	program: string;
	leaseMs: number;
};

/** Ports of every host; each has an address of its own. */
export const hostPorts = {callers: 9101, readiness: 9102, peers: 9103} as const;

/** A host that can be ended, paused and started again. Only its own process, by its id, gets signals. */
export class HostProcess {
	/** Counts its lifetimes. */
	startCount = 0;
	readonly options: HostProcessOptions;
	private child: ChildProcess | undefined;

	constructor(options: HostProcessOptions) {
		this.options = options;
	}

	/** Where callers reach it. */
	get address(): string {
		return `${this.options.ip}:${hostPorts.callers}`;
	}

	start(): void {
		const {name, zone, ip, store, seeds, folder, program, leaseMs} = this.options;
		const settings = path.join(folder, `${name}.jsonc`);
		writeFileSync(settings, JSON.stringify({
			host: {name, zone, cpuShare: 1},
			listen: {callers: `${ip}:${hostPorts.callers}`, readiness: `${ip}:${hostPorts.readiness}`, peers: `${ip}:${hostPorts.peers}`},
			seeds,
			store,
			bounds: {leaseMs, stopGraceSeconds: 6, farFactor: 1},
		}));
		this.startCount += 1;
		this.child = spawn(process.execPath, [program, '--settings', settings], {stdio: ['ignore', 'pipe', 'inherit']});
		this.child.stdout?.pipe(createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'}));
	}

	signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
		this.child?.kill(name);
	}

	/** Resolves when the process has ended. */
	async waitForExit(): Promise<void> {
		const {child} = this;
		if (child?.exitCode !== null || child.signalCode !== null) {
			return;
		}

		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
	}
}
