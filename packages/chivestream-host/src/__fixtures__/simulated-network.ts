/** The network of a simulated site: streams between hosts, requests to minions and to the store, and the faults of all of them. */
import {EventEmitter} from 'node:events';
import {Failure, failureCode, type Random} from 'chivestream-core';
import {startAnswer, type StartAnswer} from 'chivestream-dispatch';
import {
	refusal, type KeyedRecord, type MinionClient, type StoreClient, type Topic,
} from 'chivestream-platform';
import {Err, Ok, type Result} from 'ts-results-es';
import {linkDirection, messageBytes, SimulatedLinks} from './simulated-links.js';
import {type SimulatedMinion} from './simulated-minion.js';
import {type SimulatedProcess, type Simulation} from './simulation.js';

/** Least and greatest time that a message takes, in milliseconds. */
const latencyMs = {least: 0.2, most: 3} as const;

/** How long after a reset or an exit the two ends of a connection notice it at the latest, in milliseconds. */
const breakNoticeMs = 10;

/** How long a late request takes until it is carried out, in milliseconds. */
const lateRequestMs = {least: 500, most: 2500} as const;

/** How long a request takes until it is carried out after newer ones, in milliseconds. */
const overtakenRequestMs = {least: 2000, most: 12_000} as const;

/** How long a late write takes until the store does it, in milliseconds. */
const lateWriteMs = {least: 500, most: 5000} as const;

/** Time that the store takes to answer, in milliseconds. */
const storeAnswerMs = 4;

/** The share of requests whose connection a minion closes, and the share of these that it carries out before. */
const closedShare = 0.3;
const carriedOutShare = 0.5;

/** What counts as the deadline of the lease in a request that is carried out late. */
export const lateLease = {
	/** The deadline in the request, on the minion's clock. */
	kept: 'kept',
	/** The same time after the request's arrival as it would have been without its lateness. */
	fromArrival: 'from arrival',
} as const;

/** A disturbance of a share of the requests to minions; those with a lease only, if it counts from their arrival. */
type Lateness = {share: number; until: number; lease: (typeof lateLease)[keyof typeof lateLease]};

type Connection = {
	from: SimulatedProcess;
	to: string;
	/** The other end than `at`, if that is named, notices it behind the queues of its link. */
	break: (reason: string, at?: string) => void;
	/** From now on it passes nothing on, and neither end notices it. */
	silence: () => void;
};

/** The connections of a process to a minion or to the store that are open but silent, and until when they are kept. */
type StaleConnections = {from: SimulatedProcess; count: number; until: number};

/** How long an unused connection is kept open, in milliseconds. */
const idleConnectionMs = 4000;

/** Largest number of unused connections that become silent. */
const mostStaleConnections = 3;

/** One end of a stream between two hosts. */
class StreamEnd extends EventEmitter {
	writable = true;
	private readonly sendMessage: (message: unknown) => void;
	private readonly endStream: () => void;

	constructor(sendMessage: (message: unknown) => void, endStream: () => void) {
		super();
		this.sendMessage = sendMessage;
		this.endStream = endStream;
	}

	write(message: unknown): boolean {
		if (this.writable) {
			// As on the wire, where undefined fields are lost.
			this.sendMessage(JSON.parse(JSON.stringify(message)));
		}

		return true;
	}

	destroy(): void {
		this.writable = false;
		this.endStream();
	}
}

type Listener = {process: SimulatedProcess; accept: (stream: StreamEnd) => void};

type StoreTopic = {records: Array<KeyedRecord & {at: number}>; newest: Map<string, Uint8Array>; waiters: Set<() => void>};

/** Sends messages between the parts of a simulated site. Names of hosts and ids of minions identify the two ends of a path. */
export class SimulatedNetwork {
	/** Share of the start requests that are carried out late and not answered. */
	lateShare = 0;
	readonly minions = new Map<string, SimulatedMinion>();
	/** The ids of the minions that listen at the addresses. */
	readonly addresses = new Map<string, string>();
	readonly links: SimulatedLinks;
	private readonly simulation: Simulation;
	private readonly random: Random;
	private readonly log: (host: string, event: string, fields: Record<string, unknown>) => void;
	private readonly latenesses: Lateness[] = [];
	private readonly listeners = new Map<string, Listener>();
	private readonly connections = new Set<Connection>();
	/** When the cut of a path ends, by the names of both ends. */
	private readonly cuts = new Map<string, number>();
	private readonly topics = new Map<string, StoreTopic>();
	private readonly storeAwayUntil = new Map<string, number>();
	private writesLateUntil = 0;
	private readonly refusingUntil = new Map<string, number>();
	private readonly closingUntil = new Map<string, number>();
	private readonly staleToMinions = new Set<StaleConnections>();
	private readonly staleToStore = new Set<StaleConnections>();
	/** When the open connections of a host to the store last became silent. */
	private readonly storeSilentSince = new Map<string, number>();
	/** By how much the store's answers to a host are out of date, in milliseconds, and until when. */
	private readonly readLags = new Map<string, {lagMs: number; until: number}>();

	constructor(simulation: Simulation, random: Random, log: (host: string, event: string, fields: Record<string, unknown>) => void) {
		this.simulation = simulation;
		this.random = random;
		this.log = log;
		this.links = new SimulatedLinks(simulation, random);
	}

	/** Cuts the path between two ends silently; what is sent meanwhile arrives after it, unless its connection has broken by then. */
	cut(one: string, other: string, lengthMs: number): void {
		this.cuts.set(pathOf(one, other), this.simulation.time + lengthMs);
	}

	/** The store turns a host away, or each host for `*`. */
	turnAway(host: string, lengthMs: number): void {
		this.storeAwayUntil.set(host, this.simulation.time + lengthMs);
	}

	/** The store does writes late, out of order and without an answer. */
	delayWrites(lengthMs: number): void {
		this.writesLateUntil = this.simulation.time + lengthMs;
	}

	/** A minion refuses new connections while it lives. */
	refuse(id: string, lengthMs: number): void {
		this.refusingUntil.set(id, this.simulation.time + lengthMs);
	}

	/** A minion closes the connections of some requests without an answer, and goes on running. */
	closeRequests(id: string, lengthMs: number): void {
		this.closingUntil.set(id, this.simulation.time + lengthMs);
	}

	/** The store answers the reads of a host as it would have some time ago. */
	lagReads(host: string, lagMs: number, lengthMs: number): void {
		this.readLags.set(host, {lagMs, until: this.simulation.time + lengthMs});
	}

	/** A share of the open connections of a host passes nothing on any more, without a reset; new ones work. */
	silence(host: string, share: number): void {
		for (const connection of this.connections) {
			if ((connection.from.name === host || connection.to === host) && this.random() < share) {
				connection.silence();
			}
		}

		for (const stale of [...this.staleToMinions, ...this.staleToStore]) {
			if (stale.from.name === host && this.random() < share) {
				stale.count = 1 + Math.floor(this.random() * mostStaleConnections);
				stale.until = this.simulation.time + idleConnectionMs;
			}
		}

		if (this.random() < share) {
			this.storeSilentSince.set(host, this.simulation.time);
		}
	}

	/** Resets a share of the connections of a host. */
	reset(host: string, share: number): void {
		for (const connection of this.connections) {
			if ((connection.from.name === host || connection.to === host) && this.random() < share) {
				connection.break('ECONNRESET', host);
			}
		}
	}

	/** A share of the requests to all minions isn't answered, and is carried out seconds later, after newer ones. */
	delayRequests(share: number, lease: Lateness['lease'], lengthMs: number): void {
		this.latenesses.push({share, lease, until: this.simulation.time + lengthMs});
	}

	/** Breaks the connections of a process that has exited. */
	close(process: SimulatedProcess): void {
		for (const connection of this.connections) {
			if (connection.from === process || connection.to === process.name) {
				connection.break('UND_ERR_SOCKET', process.name);
			}
		}
	}

	/** Breaks the connections of a minion that has crashed. */
	closeMinion(id: string): void {
		for (const connection of this.connections) {
			if (connection.to === id) {
				connection.break('UND_ERR_SOCKET', id);
			}
		}
	}

	/** A delay after which a message on a path arrives. */
	delay(one: string, other: string): number {
		const cutMs = Math.max(0, (this.cuts.get(pathOf(one, other)) ?? 0) - this.simulation.time);
		return cutMs + latencyMs.least + (this.random() * (latencyMs.most - latencyMs.least));
	}

	/** Listens for streams at an address as the process that runs now. */
	serveStreams(address: string, accept: (stream: StreamEnd) => void): {forceShutdown: () => void} {
		this.listeners.set(address, {process: this.simulation.currentProcess(), accept});
		return {
			forceShutdown() {
				// The connections break with the process.
			},
		};
	}

	/** Opens a stream to an address as the process that runs now. */
	openStream(address: string): {stream: StreamEnd; close: () => void} {
		const from = this.simulation.currentProcess();
		const listener = this.listeners.get(address);
		const to = listener?.process;
		const toName = to?.name ?? address;
		let isBroken = false;
		let isSilent = false;
		let server: StreamEnd | undefined;
		const orders = {request: {arrivedAt: 0}, reply: {arrivedAt: 0}};
		const deliver = (kind: keyof typeof orders, process: SimulatedProcess, bytes: number, run: () => void) => {
			const [sender, receiver] = kind === 'request' ? [from.name, toName] : [toName, from.name];
			this.links.transmit({
				from: sender, to: receiver, bytes, delayMs: this.delay(from.name, toName), order: orders[kind],
			}, () => {
				if (!isSilent) {
					run();
				}
			}, process);
		};

		/** Ends the stream; the other end notices it when the path is open. */
		const finish = (notifies: {client: boolean; server: boolean}, reason: string, at?: string) => {
			if (isBroken) {
				return;
			}

			isBroken = true;
			this.connections.delete(connection);
			if (isSilent) {
				return;
			}

			const noticeMs = () => this.random() * breakNoticeMs;
			if (notifies.client) {
				this.links.notify({from: toName, to: from.name, delayMs: noticeMs(), at}, () => {
					client.writable = false;
					client.emit('error', new Error(reason));
				}, from);
			}

			if (notifies.server && to !== undefined) {
				this.links.notify({from: from.name, to: toName, delayMs: noticeMs() + this.delay(from.name, toName) - latencyMs.least, at}, () => {
					if (server !== undefined) {
						server.writable = false;
						server.emit('close');
					}
				}, to);
			}
		};

		const connection: Connection = {
			from,
			to: toName,
			break(reason, at) {
				finish({client: true, server: true}, reason, at);
			},
			silence() {
				isSilent = true;
			},
		};
		const client: StreamEnd = new StreamEnd(message => {
			if (to !== undefined) {
				deliver('request', to, bytesOf(message), () => {
					if (!isBroken) {
						server?.emit('data', message);
					}
				});
			}
		}, () => {
			finish({client: false, server: true}, 'closed');
		});
		this.connections.add(connection);
		this.links.transmit({
			from: from.name, to: toName, bytes: messageBytes.control, delayMs: this.delay(from.name, toName),
		}, () => {
			if (isBroken || isSilent) {
				return;
			}

			if (to === undefined || !to.isAlive || this.listeners.get(address) !== listener) {
				finish({client: true, server: false}, 'connect ECONNREFUSED');
			}
		});
		if (to !== undefined) {
			deliver('request', to, messageBytes.control, () => {
				if (isBroken || this.listeners.get(address) !== listener) {
					return;
				}

				server = new StreamEnd(message => {
					deliver('reply', from, bytesOf(message), () => {
						if (!isBroken) {
							client.emit('data', message);
						}
					});
				}, () => {
					finish({client: true, server: false}, 'closed by the other host');
				});
				listener!.accept(server);
			});
		}

		return {
			stream: client,
			close() {
				client.destroy();
			},
		};
	}

	/** Creates the client of a minion for the process that runs now. */
	createMinionClient(id: string, address: string): MinionClient {
		const from = this.simulation.currentProcess();
		const origin = {step: 'request', peer: id};
		const stale: StaleConnections = {from, count: 0, until: Number.NEGATIVE_INFINITY};
		this.staleToMinions.add(stale);
		/** Connections that a request over a queued link may use without opening one. */
		let idleConnections = 0;

		/** Sends a request; `handle` carries it out and passes its answer on. */
		const send = async <Answer>(
			timeoutMs: number,
			kind: {isStart: boolean; hasLease: boolean; request: Record<string, unknown>},
			handle: (minion: SimulatedMinion, answer: (reply: Answer) => void, laterLeaseMs: number) => void,
			otherMinion: Answer,
		) => new Promise<Result<Answer, Failure>>(resolve => {
			let isSettled = false;
			let isSilent = this.takeStale(stale);
			const settle = (result: Result<Answer, Failure>) => {
				if (!isSettled) {
					isSettled = true;
					idleConnections += result.isOk() ? 1 : 0;
					cancelTimer();
					this.connections.delete(connection);
					resolve(result);
				}
			};

			const holder = this.addresses.get(address);
			const connection: Connection = {
				from,
				to: holder ?? id,
				silence() {
					isSilent = true;
				},
				break: (code, at) => {
					this.connections.delete(connection);
					if (isSilent) {
						return;
					}

					this.links.notify({from: holder ?? id, to: from.name, delayMs: this.random() * breakNoticeMs, at}, () => {
						settle(new Err(new Failure(failureCode.connectionFailed, code, origin, {cause: {code}})));
					}, from);
				},
			};
			this.connections.add(connection);
			const cancelTimer = this.simulation.setTimer(() => {
				// An answer that has arrived is read first.
				this.simulation.schedule(0, () => {
					settle(new Err(new Failure(failureCode.timedOut, `no answer within ${timeoutMs} ms`, origin)));
				}, from);
			}, timeoutMs);
			const minion = this.minions.get(holder ?? id)!;
			const isLate = kind.isStart && this.random() < this.lateShare;
			const arrivalMs = isLate ? lateRequestMs.least + (this.random() * (lateRequestMs.most - lateRequestMs.least)) : this.delay(from.name, holder ?? id);
			const lateness = this.drawLateness(kind.hasLease);
			if (lateness !== undefined) {
				this.simulation.schedule(lateness.ms, () => {
					if (minion.isUp && holder === id) {
						this.log(from.name, 'request-arrived-late', {minion: id, lateMs: lateness.ms, ...kind.request});
						handle(minion, () => undefined, lateness.lease === lateLease.fromArrival ? lateness.ms : 0);
					}
				});
				return;
			}

			const isRefused = () => holder === undefined || this.addresses.get(address) !== holder || !minion.isUp || this.simulation.time < (this.refusingUntil.get(holder) ?? 0);
			const arrive = () => {
				// What a cut has held up is lost once its sender has given the request up.
				if (!isLate && !this.connections.has(connection) && arrivalMs > latencyMs.most) {
					return;
				}

				if (isSilent) {
					return;
				}

				if (isRefused()) {
					connection.break('ECONNREFUSED');
					return;
				}

				if (holder !== undefined && holder !== id) {
					this.links.transmit({
						from: holder, to: from.name, bytes: messageBytes.minionAnswer, delayMs: this.delay(from.name, holder),
					}, () => {
						if (this.connections.has(connection) && !isSilent) {
							settle(new Ok(otherMinion));
						}
					}, from);
					return;
				}

				if (this.simulation.time < (this.closingUntil.get(id) ?? 0) && this.random() < closedShare) {
					if (this.random() < carriedOutShare) {
						handle(minion, () => undefined, 0);
					}

					connection.break('UND_ERR_SOCKET');
					return;
				}

				handle(minion, reply => {
					if (!isLate) {
						this.links.transmit({
							from: id, to: from.name, bytes: messageBytes.minionAnswer, delayMs: this.delay(from.name, id),
						}, () => {
							if (this.connections.has(connection) && !isSilent) {
								settle(new Ok(reply));
							}
						}, from);
					}
				}, 0);
			};

			const transmit = () => {
				this.links.transmit({
					from: from.name, to: id, bytes: messageBytes.minionRequest, delayMs: arrivalMs,
				}, arrive);
			};

			if (!this.links.areQueued(from.name, id)) {
				transmit();
			} else if (idleConnections > 0) {
				idleConnections -= 1;
				transmit();
			} else {
				this.links.openConnection({from, to: id, delayMs: () => this.delay(from.name, id)}, () => {
					if (isRefused()) {
						connection.break('ECONNREFUSED');
						return false;
					}

					return true;
				}, () => {
					// Its sender may have given it up.
					if (this.connections.has(connection)) {
						transmit();
					}
				});
			}
		});

		return {
			async start(startRequest, timeoutMs) {
				const result = await send<Awaited<ReturnType<MinionClient['start']>>>(timeoutMs, {isStart: true, hasLease: true, request: {start: startRequest.task, number: startRequest.number}}, (minion, answer, laterLeaseMs) => {
					answer(minion.start({...startRequest, leaseDeadline: startRequest.leaseDeadline + laterLeaseMs}));
				}, {answer: startAnswer.refused, refusal: refusal.otherIncarnation});
				const unanswered: StartAnswer = startAnswer.unknown;
				return result.isOk() ? result.value : {answer: unanswered, refusal: refusal.other, detail: result.error.message};
			},
			async stop(task, number, token, timeoutMs) {
				const result = await send<boolean>(timeoutMs, {isStart: false, hasLease: false, request: {stop: task, number}}, (minion, answer) => {
					answer(minion.stop(task, number, token));
				}, false);
				return result.andThen(isConfirmed => isConfirmed ? new Ok(undefined) : new Err(new Failure(failureCode.protocolError, 'unexpected status 409', origin)));
			},
			async hold(holdRequest, timeoutMs) {
				const {leaseDeadline} = holdRequest;
				const result = await send<Awaited<ReturnType<MinionClient['hold']>>>(timeoutMs, {isStart: false, hasLease: leaseDeadline !== undefined, request: {leaseDeadline}}, (minion, answer, laterLeaseMs) => {
					minion.hold({...holdRequest, leaseDeadline: leaseDeadline === undefined ? undefined : leaseDeadline + laterLeaseMs}, answer);
				}, new Err(refusal.otherIncarnation));
				return result.isOk() ? result.value : result;
			},
			close() {
				// Each request has a connection of its own here.
			},
		};
	}

	/** Writes a record of the store as the operator or a minion; an undefined value drops the key. */
	write(topic: string, key: string, value: Uint8Array | undefined): void {
		const {records, newest, waiters} = this.topic(topic);
		records.push({key, value, at: this.simulation.time});
		if (value === undefined) {
			newest.delete(key);
		} else {
			newest.set(key, value);
		}

		for (const wake of waiters) {
			wake();
		}
	}

	/** Asks the store to write a record; returns whether it has done so at once. */
	requestWrite(topic: string, key: string, value: Uint8Array): boolean {
		if (this.simulation.time >= this.writesLateUntil) {
			this.write(topic, key, value);
			return true;
		}

		this.simulation.schedule(lateWriteMs.least + (this.random() * (lateWriteMs.most - lateWriteMs.least)), () => {
			this.write(topic, key, value);
		});
		return false;
	}

	/** Creates the client of the store for the process that runs now. */
	createStoreClient(): StoreClient {
		const from = this.simulation.currentProcess();
		const stale: StaleConnections = {from, count: 0, until: Number.NEGATIVE_INFINITY};
		this.staleToStore.add(stale);
		const call = async <Value>(timeoutMs: number, read: () => Value | Promise<Value>): Promise<Result<Value, Failure>> => {
			const startedAt = this.simulation.time;
			const timeOut = async () => {
				await this.simulation.sleep(Math.max(0, startedAt + timeoutMs - this.simulation.time));
				return new Err(new Failure(failureCode.timedOut, `no answer within ${timeoutMs} ms`, {step: 'read', peer: 'store'}));
			};

			if (this.takeStale(stale)) {
				return timeOut();
			}

			const answer = async (): Promise<Result<Value, Failure>> => {
				await this.simulation.sleep(storeAnswerMs);
				await this.links.pass(from, linkDirection.outbound, messageBytes.storeRequest);
				const awayUntil = Math.max(this.storeAwayUntil.get('*') ?? 0, this.storeAwayUntil.get(from.name) ?? 0);
				if (this.simulation.time < awayUntil) {
					return new Err(new Failure(failureCode.logUnavailable, 'unexpected status 503', {step: 'read', peer: 'store'}));
				}

				const value = await read();
				await this.links.pass(from, linkDirection.inbound, messageBytes.storeAnswer);
				return (this.storeSilentSince.get(from.name) ?? Number.NEGATIVE_INFINITY) >= startedAt ? timeOut() : new Ok(value);
			};

			return this.links.areQueued(from.name) ? Promise.race([answer(), timeOut()]) : answer();
		};

		return {
			readSnapshot: async (source: Topic, timeoutMs) => call(timeoutMs, () => {
				const {records, newest} = this.topic(source);
				const visible = this.visibleCount(records, from.name);
				if (visible < records.length) {
					const earlier = new Map<string, KeyedRecord>();
					for (const {key, value} of records.slice(0, visible)) {
						earlier.set(key, {key, value});
					}

					return {records: [...earlier.values()].filter(({value}) => value !== undefined), end: visible};
				}

				return {records: [...newest].map(([key, value]) => ({key, value})), end: records.length};
			}),
			readChanges: async (source: Topic, offset, waitMs, timeoutMs) => call(waitMs + timeoutMs, async () => {
				const {records, waiters} = this.topic(source);
				if (records.length <= offset) {
					await new Promise<void>(resolve => {
						const finish = () => {
							waiters.delete(finish);
							this.simulation.schedule(0, resolve, from);
						};

						waiters.add(finish);
						this.simulation.schedule(waitMs, finish);
					});
				}

				const end = Math.max(offset, this.visibleCount(records, from.name));
				return {records: records.slice(offset, end), end};
			}),
			writeRecord: async (to: Topic, key, value, timeoutMs) => {
				const result = await call(timeoutMs, () => this.requestWrite(to, key, new TextEncoder().encode(value)));
				return result.andThen(isDone => isDone ? new Ok(undefined) : new Err(new Failure(failureCode.timedOut, 'no answer', {step: 'write', peer: 'store'})));
			},
			async close() {
				// It has no connections.
			},
		};
	}

	/** Whether the next request goes over a connection that is silent. */
	private takeStale(stale: StaleConnections): boolean {
		if (stale.count === 0 || this.simulation.time >= stale.until) {
			return false;
		}

		stale.count -= 1;
		return true;
	}

	/** How many of the records the store shows a host. */
	private visibleCount(records: ReadonlyArray<{at: number}>, host: string): number {
		const lag = this.readLags.get(host);
		if (lag === undefined || this.simulation.time >= lag.until) {
			return records.length;
		}

		const at = this.simulation.time - lag.lagMs;
		return records.findLastIndex(record => record.at <= at) + 1;
	}

	/** The lateness of a request, if a disturbance meets it now. */
	private drawLateness(hasLease: boolean): {ms: number; lease: Lateness['lease']} | undefined {
		for (const {share, until, lease} of this.latenesses) {
			if (this.simulation.time < until && (hasLease || lease === lateLease.kept) && this.random() < share) {
				return {ms: Math.round(overtakenRequestMs.least + (this.random() * (overtakenRequestMs.most - overtakenRequestMs.least))), lease};
			}
		}

		return undefined;
	}

	private topic(name: string): StoreTopic {
		const found = this.topics.get(name) ?? {records: [], newest: new Map(), waiters: new Set()};
		this.topics.set(name, found);
		return found;
	}
}

const bytesOf = (message: unknown): number => messageBytes.streamHeader + JSON.stringify(message).length;

const pathOf = (one: string, other: string): string => one < other ? `${one} ${other}` : `${other} ${one}`;
