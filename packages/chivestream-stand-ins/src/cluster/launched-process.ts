/** Starts programs for the demo and for tests, each ended by its own id. */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A program to start with Node.js. */
export type Program = {
	/** Name used in messages. */
	name: string;
	/** Path of its script. */
	script: string;
	arguments: string[];
	/** Options of Node.js itself. */
	nodeOptions?: string[];
};

/** How a program ended. */
export type ProcessEnd = {
	code: number | undefined;
	signal: NodeJS.Signals | undefined;
};

/** A started program. */
export type LaunchedProcess = {
	name: string;
	pid: number;
	/** First line that it prints; rejects when it ends before. */
	firstLine: Promise<string>;
	ended: Promise<ProcessEnd>;
	hasEnded: () => boolean;
	signal: (signal: NodeJS.Signals) => void;
	/** Last part of what it wrote to standard error. */
	errorTail: () => string;
	/** Asks it to end, and kills it when it has not by the deadline. */
	stop: (deadline: number) => Promise<ProcessEnd>;
};

const tailLength = 4000;
const running = new Set<ChildProcess>();

/** Children would outlive a parent that ends before it has stopped them. */
const killRunning = () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

const track = (child: ChildProcess) => {
	if (running.size === 0) {
		process.once('exit', killRunning);
	}

	running.add(child);
	child.once('close', () => {
		running.delete(child);
		if (running.size === 0) {
			process.off('exit', killRunning);
		}
	});
};

/** Starts a program without waiting for it. */
export const launchProcess = ({name, script, arguments: scriptArguments, nodeOptions = []}: Program): LaunchedProcess => {
	const child = spawn(process.execPath, [...nodeOptions, script, ...scriptArguments], {stdio: ['ignore', 'pipe', 'pipe']});
	track(child);
	let end: ProcessEnd | undefined;
	let errors = '';
	child.stderr.on('data', (chunk: Uint8Array) => {
		errors = (errors + Buffer.from(chunk).toString()).slice(-tailLength);
	});

	const ended = new Promise<ProcessEnd>((resolve, reject) => {
		child.once('error', reject);
		child.once('close', (code, signal) => {
			const result: ProcessEnd = {code: code ?? undefined, signal: signal ?? undefined};
			end = result;
			resolve(result);
		});
	});

	const waitForFirstLine = async (): Promise<string> => {
		const lines = createInterface({input: child.stdout});
		const first = once(lines, 'line').then(([line]) => String(line));
		const failed = ended.then(({code, signal}) => {
			throw new Error(`${name} ended with ${code ?? signal} before it was ready: ${errors}`);
		});
		return Promise.race([first, failed]);
	};

	const firstLine = waitForFirstLine();
	// Whoever needs the line awaits it; a program that prints none is no error.
	firstLine.catch(() => undefined);

	const signal = (name: NodeJS.Signals) => {
		if (!end) {
			child.kill(name);
		}
	};

	return {
		name,
		pid: child.pid ?? 0,
		firstLine,
		ended,
		hasEnded: () => end !== undefined,
		signal,
		errorTail: () => errors,
		async stop(deadline) {
			signal('SIGTERM');
			const timer = setTimeout(signal, Math.max(0, deadline - Date.now()), 'SIGKILL');
			const result = await ended;
			clearTimeout(timer);
			return result;
		},
	};
};
