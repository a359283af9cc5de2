/** HTTP requests of callers to the hosts of a simulated site. */
import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import {type CallerResult} from './site.js';
import {type SimulatedNetwork} from './simulated-network.js';
import {type SimulatedProcess, type Simulation} from './simulation.js';

/** A request of a caller. */
export type CallerRequest = {address: string; method: string; path: string; headers: Record<string, string>; body: string};

/** A request from the time at which it is sent; `cut` breaks its connection. */
type Exchange = {process: SimulatedProcess; cut: () => void};

const brokenResult: CallerResult = {status: undefined, body: undefined, retryAfter: undefined};

/** A response as the service for callers uses it. */
class SimulatedResponse extends EventEmitter {
	statusCode = 200;
	headersSent = false;
	destroyed = false;
	writableEnded = false;
	private readonly headers = new Map<string, string>();
	private readonly answer: (result: CallerResult) => void;

	constructor(answer: (result: CallerResult) => void) {
		super();
		this.answer = answer;
	}

	setHeader(name: string, value: string | number): void {
		this.headers.set(name, String(value));
	}

	/** Sends the answer; one without its whole body counts as broken. */
	end(body = ''): void {
		this.headersSent = true;
		this.writableEnded = true;
		const isWhole = Number(this.headers.get('content-length')) === Buffer.byteLength(body);
		this.answer(isWhole ? {status: this.statusCode, body: JSON.parse(body), retryAfter: this.headers.get('retry-after')} : brokenResult);
	}

	/** Breaks the connection. */
	destroy(): void {
		if (!this.destroyed) {
			this.destroyed = true;
			this.emit('close');
		}
	}
}

/** An HTTP server of a host. */
class SimulatedServer extends EventEmitter {
	private readonly process: SimulatedProcess;
	private readonly http: SimulatedHttp;
	private address = '';

	constructor(process: SimulatedProcess, http: SimulatedHttp) {
		super();
		this.process = process;
		this.http = http;
	}

	listen(port: number, ip: string, listening: () => void): void {
		this.address = `${ip}:${port}`;
		this.http.servers.set(this.address, {process: this.process, server: this});
		listening();
	}

	close(): void {
		this.http.servers.delete(this.address);
	}

	closeAllConnections(): void {
		this.http.cut(this.process);
	}
}

/** Carries requests to the servers of hosts. */
export class SimulatedHttp {
	/** The servers that listen, by address. */
	readonly servers = new Map<string, {process: SimulatedProcess; server: SimulatedServer}>();
	private readonly simulation: Simulation;
	private readonly network: SimulatedNetwork;
	private readonly exchanges = new Set<Exchange>();

	constructor(simulation: Simulation, network: SimulatedNetwork) {
		this.simulation = simulation;
		this.network = network;
	}

	/** Creates a server of the process that runs now. */
	createServer(): SimulatedServer {
		return new SimulatedServer(this.simulation.currentProcess(), this);
	}

	/** Breaks the connections of callers to a process. */
	cut(process: SimulatedProcess): void {
		for (const exchange of this.exchanges) {
			if (exchange.process === process) {
				exchange.cut();
			}
		}
	}

	/** Sends a request; the fields of its result are undefined if the connection breaks. */
	async send({address, method, path, headers, body}: CallerRequest): Promise<CallerResult> {
		const {simulation, network} = this;
		const found = this.servers.get(address);
		if (found === undefined) {
			return brokenResult;
		}

		const {process, server} = found;
		const delayMs = () => network.delay('caller', process.name);
		return new Promise(resolve => {
			let response: SimulatedResponse | undefined;
			const exchange: Exchange = {
				process,
				cut: () => {
					this.exchanges.delete(exchange);
					resolve(brokenResult);
					response?.destroy();
				},
			};
			this.exchanges.add(exchange);
			simulation.schedule(delayMs(), () => {
				if (!this.exchanges.has(exchange)) {
					return;
				}

				const request = Object.assign(new EventEmitter(), {
					method, url: path, headers, socket: {destroyed: false, readableEnded: false},
				});
				response = new SimulatedResponse(result => {
					// What was sent arrives, also if the host closes the connection then.
					this.exchanges.delete(exchange);
					simulation.schedule(delayMs(), () => {
						resolve(result);
					});
					simulation.schedule(0, () => {
						response!.emit('close');
					}, process);
				});
				server.emit('request', request, response);
				request.emit('data', Buffer.from(body));
				request.emit('end');
			}, process);
		});
	}
}
