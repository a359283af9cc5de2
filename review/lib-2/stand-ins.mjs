/** Stand-ins for the platform's store and for a minion, by the users' protocol page. */
/* eslint-disable camelcase -- the platform spells its fields in snake case */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const lengthBytes = 4;
const offsetBytes = 8;
const headerBytes = 2 * offsetBytes;
const maxPageItems = 500;
const status = {
	ok: 200, badRequest: 400, forbidden: 403, notFound: 404, gone: 410, conflict: 409, misdirected: 421,
};

const readBody = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const json = (code, value) => ({code, body: JSON.stringify(value)});

/** Listens at an IP address on a free port, and answers each request with what `handle` returns; undefined sends no answer. */
const listen = async (ip, handle) => {
	const server = createServer((request, response) => {
		const answer = async () => {
			const url = new URL(request.url, 'http://stand-in');
			const result = await handle({
				path: url.pathname, query: url.searchParams, headers: request.headers, body: await readBody(request),
			});
			if (result !== undefined && !response.destroyed) {
				response.writeHead(result.code, {'content-type': 'application/json'});
				response.end(result.body);
			}
		};

		answer().catch(() => {
			response.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	return {
		address: `${ip}:${server.address().port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

const splitRecords = body => {
	const records = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		position += lengthBytes;
		records.push(body.subarray(position, position + length));
		position += length;
	}

	return records;
};

/** Starts the store: topics with one partition, and the newest record of each key of those named `keyed.`. */
export const startStore = async ip => {
	const topics = new Map();
	const topicOf = name => {
		const topic = topics.get(name) ?? {records: [], newest: new Map(), waiters: new Set()};
		topics.set(name, topic);
		return topic;
	};

	const append = (name, record) => {
		const topic = topicOf(name);
		const keyLength = record[0];
		const key = record.subarray(1, 1 + keyLength).toString('utf8');
		const value = record.subarray(1 + keyLength);
		topic.newest.delete(key);
		if (value.length > 0) {
			topic.newest.set(key, {value, offset: topic.records.length});
		}

		topic.records.push(record);
		for (const wake of topic.waiters) {
			wake();
		}
	};

	const write = (name, key, value) => {
		append(name, Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)]));
	};

	const read = async query => {
		const topic = topicOf(query.get('topic'));
		const from = Number(query.get('from'));
		const waitMs = Number(query.get('wait_ms') ?? 0);
		if (from >= topic.records.length && waitMs > 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					topic.waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				topic.waiters.add(finish);
			});
		}

		const header = Buffer.alloc(headerBytes);
		header.writeBigUInt64BE(BigInt(topic.records.length), 0);
		const parts = [header];
		for (const record of topic.records.slice(from)) {
			const length = Buffer.alloc(lengthBytes);
			length.writeUInt32BE(record.length);
			parts.push(length, record);
		}

		return {code: status.ok, body: Buffer.concat(parts)};
	};

	const readNewest = query => {
		const topic = topicOf(query.get('topic'));
		const after = query.get('depends_on') ?? '';
		const keys = [...topic.newest.keys()].filter(key => key > after).toSorted();
		const items = keys.slice(0, maxPageItems).map(key => {
			const {value, offset} = topic.newest.get(key);
			return {key, value: value.toString('base64'), offset};
		});
		return json(status.ok, {items, has_more: keys.length > maxPageItems, end: topic.records.length});
	};

	const handle = async ({path, query, body}) => {
		const name = query.get('topic') ?? '';
		switch (path) {
			case '/api/log-append': {
				if (name === 'keyed.op' || name === 'keyed.servers') {
					return json(status.forbidden, {});
				}

				const offset = topicOf(name).records.length;
				for (const record of splitRecords(body)) {
					append(name, record);
				}

				return json(status.ok, {offset, end: topicOf(name).records.length});
			}

			case '/api/log-read': {
				return read(query);
			}

			case '/api/log-newest': {
				return readNewest(query);
			}

			default: {
				return json(status.notFound, {});
			}
		}
	};

	return {
		...await listen(ip, handle),
		write,
		/** Number of keys in a topic. */
		countKeys: name => topicOf(name).newest.size,
	};
};

const heartbeatMs = 1500;
const leaseCheckMs = 10;
const stopDelayMs = 30;

/**
 * Starts a minion, which registers itself in the store. It doesn't guard its capacity, as on the sites of the users. `options` has its `id`,
 * `ip`, `zone`, `service`, `cpu` in thousandths of a core, `holdMaxMs`, the `store`, the `record` of the case, and `workMs`, which tells how
 * long a task takes by its text. Where the room matters, `cpuOf` tells how much of it a task takes.
 */
export const startMinion = async options => {
	const {
		id, ip, zone, service, holdMaxMs, store, record, workMs, cpuOf = () => 0,
	} = options;
	let {cpu} = options;
	const bornAt = Date.now();
	const clockStart = performance.now();
	const running = new Map();
	const highestRuns = new Map();
	const waiters = new Set();
	let ended = [];
	let lastEnd = 0;
	let fence = 0;
	let leaseEndsAt = 0;
	let sequence = 0;
	const clock = () => Math.round(performance.now() - clockStart);

	const end = (key, how) => {
		const run = running.get(key);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		running.delete(key);
		highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0));
		lastEnd += 1;
		ended.push([lastEnd, run.task, run.run, how, '']);
		record.noteEnd(run.entry, how);
		for (const wake of waiters) {
			wake();
		}
	};

	const extendLease = deadline => {
		if (deadline !== undefined) {
			leaseEndsAt = Math.max(leaseEndsAt, Math.min(deadline, clock() + holdMaxMs));
		}
	};

	const refuse = reason => json(status.conflict, {clock_ms: clock(), reason});

	const start = ({task, run, task_spec: spec = '', deadline_ms: deadline, fencing_token: token = 0}) => {
		if (token < fence) {
			return refuse('fence');
		}

		fence = token;
		const key = `${task}/${run}`;
		if (!running.has(key) && run <= (highestRuns.get(task) ?? 0)) {
			extendLease(deadline);
			return refuse('old');
		}

		if (deadline <= clock()) {
			return refuse('late');
		}

		extendLease(deadline);
		if (!running.has(key)) {
			const timer = setTimeout(() => {
				end(key, 'done');
			}, workMs(spec));
			running.set(key, {
				task, run, timer, startedAt: clock(), workMs: workMs(spec), entry: record.noteStart(id, {
					task, run, spec, cpu: cpuOf(spec),
				}),
			});
		}

		return json(status.ok, {clock_ms: clock()});
	};

	const stop = ({task, run, fencing_token: token = 0}) => {
		if (token < fence) {
			return refuse('fence');
		}

		fence = token;
		highestRuns.set(task, Math.max(run, highestRuns.get(task) ?? 0));
		setTimeout(() => {
			end(`${task}/${run}`, 'stopped');
		}, stopDelayMs);
		return json(status.ok, {clock_ms: clock()});
	};

	const hold = async ({deadline_ms: deadline, fencing_token: token = 0, ack_cursor: acknowledged = 0, wait_ms: waitMs = 0}) => {
		if (token < fence) {
			return refuse('fence');
		}

		fence = token;
		extendLease(deadline);
		ended = ended.filter(([number]) => number > acknowledged);
		if (ended.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				waiters.add(finish);
			});
		}

		return json(status.ok, {
			clock_ms: clock(),
			born: bornAt,
			running: [...running.values()].map(run => [run.task, run.run, '', Math.min(99, Math.round(100 * (clock() - run.startedAt) / run.workMs)), cpu]),
			ended: ended.slice(0, maxPageItems),
		});
	};

	const handle = async ({path, headers, body}) => {
		const expected = headers['chivestream-expected-instance'];
		if (expected !== undefined && expected !== id) {
			record.note(`minion ${id} is called as ${expected} (${path}) and responds 421`);
			return json(status.misdirected, {clock_ms: clock()});
		}

		const call = {'/api/run-start': start, '/api/run-stop': stop, '/api/hold': hold}[path];
		return call === undefined ? json(status.notFound, {}) : call(JSON.parse(body.toString('utf8')));
	};

	const leaseTimer = setInterval(() => {
		if (clock() > leaseEndsAt) {
			for (const key of running.keys()) {
				end(key, 'lapsed');
			}
		}
	}, leaseCheckMs);
	const server = await listen(ip, handle);
	const entry = () => {
		sequence += 1;
		return {
			service, address: server.address, zone, version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0,
			capacity: {cpu, mem_mb: 65_536, gpu: 0}, labels: ['a', `r-${zone}`], clock_ms: clock(), sequence, born: bornAt,
		};
	};

	let onBeat = () => undefined;
	const beat = () => {
		store.write('keyed.servers', id, JSON.stringify(entry()));
		onBeat();
	};

	beat();
	const beatTimer = setInterval(beat, heartbeatMs);
	return {
		id,
		address: server.address,
		/** Changes its room, in thousandths of a core, and says so in its entry. */
		setCpu(changed) {
			cpu = changed;
			record.note(`minion ${id} has room for ${cpu}, and says so`);
			beat();
		},
		/** Resolves when it has next written its entry. */
		nextBeat: async () => new Promise(resolve => {
			onBeat = resolve;
		}),
		/** What it says of itself. */
		entry,
		close() {
			clearInterval(leaseTimer);
			clearInterval(beatTimer);
			for (const {timer} of running.values()) {
				clearTimeout(timer);
			}

			server.close();
		},
	};
};
