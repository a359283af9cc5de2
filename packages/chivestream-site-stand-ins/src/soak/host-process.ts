/** Runs an entry host as a child process that can be signalled. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Identity and settings of a host, the same for all its starts. */
export type HostProcessOptions = {
	name: string;
	zone: string;
	ip: string;
	/** `ip:port` of the store. */
	store: string;
	seeds: readonly string[];
	/** Folder for its settings and log files. */
	folder: string;
	/** Path of the host's program. */
	program: string;
	leaseMs: number;
	/** Path of a module that is loaded before the program and receives the messages of `send`; none by default. */
	preload?: string;
};

/** Ports of every host; the hosts differ by IP address. */
export const hostPorts = {callers: 9101, readiness: 9102, peers: 9103} as const;

/** A host that can be stopped, paused and restarted. It has at most one process, and signals go only to that one. */
export class HostProcess {
	/** Number of starts; it identifies the current incarnation. */
	startCount = 0;
	readonly options: HostProcessOptions;
	private child: ChildProcess | undefined;
	private isClosed = false;

	constructor(options: HostProcessOptions) {
		this.options = options;
	}

	/** `ip:port` for callers. */
	get address(): string {
		return `${this.options.ip}:${hostPorts.callers}`;
	}

	/** Starts the host, unless it is running: faults that overlap may both restart it. */
	start(): void {
		if (this.isClosed || this.isRunning()) {
			return;
		}

		const {name, zone, ip, store, seeds, folder, program, leaseMs, preload} = this.options;
		const settings = path.join(folder, `${name}.jsonc`);
		writeFileSync(settings, JSON.stringify({
			host: {name, zone, cpuShare: 1},
			listen: {callers: `${ip}:${hostPorts.callers}`, readiness: `${ip}:${hostPorts.readiness}`, peers: `${ip}:${hostPorts.peers}`},
			seeds,
			store,
			bounds: {leaseMs, stopGraceSeconds: 6, farFactor: 1},
		}));
		this.startCount += 1;
		const nodeOptions = preload === undefined ? [] : ['--import', preload];
		this.child = spawn(process.execPath, [...nodeOptions, program, '--settings', settings], {
			stdio: ['ignore', 'pipe', 'pipe', ...(preload === undefined ? [] : ['ipc' as const])],
		});
		this.child.stdout?.pipe(createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'}));
		this.child.stderr?.pipe(createWriteStream(path.join(folder, `${name}.errors.log`), {flags: 'a'}));
	}

	signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
		this.child?.kill(name);
	}

	/** Sends a message to the module that was loaded before the program. */
	send(message: {pauseMs: number}): void {
		this.child?.send(message);
	}

	/** Resolves when the process has exited. */
	async waitForExit(): Promise<void> {
		const {child} = this;
		if (child === undefined || !this.isRunning()) {
			return;
		}

		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
	}

	/** Kills the process and waits for its exit. The host does not start again. */
	async close(): Promise<void> {
		this.isClosed = true;
		this.signal('SIGKILL');
		await this.waitForExit();
	}

	private isRunning(): boolean {
		return this.child?.exitCode === null && this.child.signalCode === null;
	}
}
