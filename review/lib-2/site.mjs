/** A small site of the users' platform on loopback addresses: entry hosts as separate processes, and clients. */
/* eslint-disable camelcase -- the platform spells its fields in snake case */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {CaseRecord} from './record.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
/** Octets of three digits, so that all addresses have the same length. */
const leastOctet = 100;
const octetRange = 150;
const lastLineCount = 5;
/** A case that takes longer is given up. */
const longestMs = 112_000;
const readyPollMs = 50;
const readyTimeoutMs = 20_000;

/** Exit codes of a case. */
export const exitCode = {held: 0, broken: 1, notRun: 2};

/** The bounds of the site `filmunet` that the cases use. */
export const bounds = {
	hold_max_ms: 1000, grace_s: 6, far_x: 1.5, contact_ms: 3000, cancel_ms: 3000, stop_ms: 50, resend_ms: 1300,
};

const randomOctet = () => leastOctet + Math.floor(Math.random() * octetRange);

/** A loopback address that no other process is likely to use. */
export const loopbackIp = () => `127.${randomOctet()}.${randomOctet()}.${randomOctet()}`;

const listenAnywhere = async ip => new Promise((resolve, reject) => {
	const server = createServer();
	server.once('error', reject);
	server.listen(0, ip, () => {
		resolve(server);
	});
});

/** Three different free ports of an address. */
const freePorts = async ip => {
	const servers = await Promise.all([1, 2, 3].map(async () => listenAnywhere(ip)));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};

/** Fills in the placeholders of the deploy template with the platform's fields. */
const render = (template, fields) => template.replaceAll(/\{\{([a-z_.]+)(\|json)?\}\}/gv, (_, name, isJson) => {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return isJson === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
});

const deployWords = () => {
	const deploy = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<run>.*)"$/mv.exec(deploy).groups.run.split(' ');
};

/** An entry host: the program and the arguments of the deploy file, with a settings file from its template. */
class Host {
	#child;
	#site;
	#settings;
	#log;

	constructor(site, fields) {
		this.#site = site;
		this.name = fields.node_name;
		this.zone = fields.zone;
		this.callers = fields.listen.front;
		this.readiness = fields.listen.ready;
		this.peers = fields.listen.control;
		this.#settings = path.join(site.folder, `${this.name}.jsonc`);
		this.#log = path.join(site.folder, `${this.name}.log`);
		writeFileSync(this.#log, '');
		writeFileSync(this.#settings, render(readFileSync(path.join(root, 'deploy/host.template.jsonc'), 'utf8'), fields));
	}

	start() {
		if (this.#site.isClosed) {
			return;
		}

		const [program, ...words] = deployWords();
		const {PATH, HOME, LANG} = process.env;
		this.#child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {
				PATH, HOME, LANG, CHIVESTREAM_NODE_FILE: this.#settings,
			},
		});
		const log = createWriteStream(this.#log, {flags: 'a'});
		this.#child.stdout.pipe(log);
		this.#child.stderr.pipe(log);
		this.#site.record.note(`host ${this.name} starts`);
	}

	/** Sends a signal to the process that this case started. */
	signal(name) {
		this.#site.record.note(`host ${this.name} gets ${name}`);
		this.#child.kill(name);
	}

	async exited() {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			await new Promise(resolve => {
				this.#child.once('exit', resolve);
			});
		}
	}

	isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	async close() {
		if (this.isRunning()) {
			this.#child.kill('SIGKILL');
			await this.exited();
		}
	}

	/** The last lines of its log, for a case that could not run. */
	lastLines() {
		return readFileSync(this.#log, 'utf8').trim().split('\n').slice(-lastLineCount).join('\n');
	}

	async isReady() {
		const answer = await call(this.readiness, {method: 'GET', path: '/api/ready'});
		return answer.status === 200;
	}
}

/**
 * Sends a request on a channel of its own; resolves with the status and the body, or with `broken` if the channel breaks or no answer comes
 * within `timeoutMs`.
 */
export const call = async (address, {method, path: target, host = 'site.example', headers = {}, body, timeoutMs = 2000}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	const request = sendRequest({
		host: ip, port: Number(port), method, path: target, agent: new Agent({keepAlive: false}), headers: {
			host, ...(body !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}), ...headers,
		},
	}, response => {
		let text = '';
		response.setEncoding('utf8');
		response.on('data', chunk => {
			text += chunk;
		});
		response.on('end', () => {
			clearTimeout(timer);
			resolve({status: response.statusCode, body: text});
		});
		response.on('error', error => {
			clearTimeout(timer);
			resolve({broken: error.code});
		});
	});
	const timer = setTimeout(() => {
		request.destroy();
		resolve({broken: 'no response'});
	}, timeoutMs);
	request.on('error', error => {
		clearTimeout(timer);
		resolve({broken: error.code});
	});
	request.end(body);
});

/**
 * Sends a job of one step, which needn't be stored. `job` has its `path` with the ID, its text `spec`, the `count` of tasks, the `cpu` of each in
 * thousandths of a core, its estimate `taskMs`, and the client's time budget `budgetMs`.
 */
export const submitJob = async (host, {path: target, spec, count = 1, cpu, taskMs, budgetMs}) => call(host.callers, {
	method: 'POST',
	path: target,
	headers: {'chivestream-deadline-ms': String(budgetMs)},
	timeoutMs: budgetMs,
	body: JSON.stringify({
		task_spec: spec,
		best_effort: true,
		steps: [{
			count, cpu, mem_mb: 64, estimate_ms: taskMs,
		}],
	}),
});

/** Describes an answer in a record. */
export const describe = answer => answer.broken === undefined ? `${answer.status} ${answer.body}` : `no response (${answer.broken})`;

/** A site under test with its record and its temporary folder. */
export class Site {
	hosts = [];
	/** Whether the case has ended; no host starts any more. */
	isClosed = false;
	closeables = [];

	constructor(recordFile) {
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.record = new CaseRecord(recordFile);
	}

	/** Adds an entry host that is not started yet. `store` is the address of the store, as the host sees it. */
	async addHost({name, zone, store, seeds = []}) {
		const ip = loopbackIp();
		const [front, ready, control] = await freePorts(ip);
		const host = new Host(this, {
			node_name: name,
			zone,
			ip,
			listen: {front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`},
			seeds,
			limits: {cpu_share: 1, cores: 1, memory_mb: 350},
			platform: {address: store},
			bounds,
		});
		this.hosts.push(host);
		return host;
	}

	/** Writes a configuration with one route to one service. */
	configure(store, {service, prefix, version = 1}) {
		store.write('keyed.op', 'config', JSON.stringify({
			version,
			routes: [{
				name: 'r-1', host: 'site.example', path_prefix: prefix, kind: 'unsafe', timeout_ms: 60_000, target_latency_ms: 2000, priority: 0, service, max_attempts: 2, stretch: 3,
			}],
			services: [{
				name: service, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, admission_control: false, standby: false,
			}],
			limits: {max_header_bytes: 16_384, max_body_bytes: 262_144},
		}));
	}

	/** Waits until all hosts report themselves ready, and for `contact_ms` after that. */
	async untilInTouch(hosts = this.hosts) {
		const until = performance.now() + readyTimeoutMs;
		for (const host of hosts) {
			// eslint-disable-next-line no-await-in-loop -- polls one host after the other
			while (!await host.isReady()) {
				if (performance.now() > until) {
					throw new Error(`${host.name} is not ready`);
				}

				// eslint-disable-next-line no-await-in-loop -- a pause between two polls
				await sleep(readyPollMs);
			}
		}

		this.record.note('all hosts are ready');
		await sleep(bounds.contact_ms);
	}

	/** Ends all processes and servers that the case started. */
	async close() {
		this.isClosed = true;
		await Promise.all(this.hosts.map(async host => host.close()));
		for (const closeable of this.closeables) {
			closeable.close();
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Whether the case runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

/** Runs a case: `play` returns the violations that it has seen. The process ends with the exit code of the case. */
export const runCase = async (recordFile, play) => {
	const site = new Site(recordFile);
	const giveUp = async reason => {
		site.record.note(`the case could not run: ${reason}`);
		await site.close();
		// The case itself goes on.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(exitCode.notRun);
	};

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			giveUp(signal);
		});
	}

	setTimeout(giveUp, longestMs, 'it took too long').unref();
	let code = exitCode.notRun;
	try {
		site.record.note(isTroubled ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
		const violations = await play(site);
		for (const violation of violations) {
			site.record.note(`RULE BROKEN: ${violation}`);
		}

		site.record.note(violations.length === 0 ? 'the rule held' : 'the rule was broken');
		code = violations.length === 0 ? exitCode.held : exitCode.broken;
	} catch (error) {
		site.record.note(`the case could not run: ${error.stack}`);
		for (const host of site.hosts) {
			site.record.note(`log of ${host.name}:\n${host.lastLines()}`);
		}
	}

	await site.close();
	// A request of a client may still be open.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
};
