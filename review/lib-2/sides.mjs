/** Two zones of a site with links between them that can be cut, while all hosts reach the store and clients reach all hosts. */
import {Buffer} from 'node:buffer';
import {createServer as createHttpServer, request as sendRequest} from 'node:http';
import {connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {loopbackIp} from './site.mjs';

const hostsTopic = 'keyed.hosts';
const pollMs = 50;
const openTimeoutMs = 20_000;
/** Time from the moment at which all hosts know each other's records until the links between the zones open. */
const settleMs = 300;

/**
 * A link to one host from the other zones: a proxy on loopback. While cut, it drops all bytes; connections that lost some are reset at the end
 * of the cut. Hosts name the addresses of hosts to each other, so `translate` replaces these in all bytes by others of the same length.
 */
const startLink = async (target, translate) => {
	const [targetIp, targetPort] = target.split(':');
	let mode = 'closed';
	const pairs = new Set();
	const server = createServer(near => {
		if (mode === 'closed') {
			near.resetAndDestroy();
			return;
		}

		const pair = {near, far: connect(Number(targetPort), targetIp), hasLost: mode === 'cut'};
		pairs.add(pair);
		const forward = (from, to) => {
			from.on('data', bytes => {
				if (mode === 'cut') {
					pair.hasLost = true;
				} else {
					to.write(Buffer.from(translate(bytes.toString('latin1')), 'latin1'));
				}
			});
			const end = () => {
				if (mode === 'cut') {
					// The other end learns nothing of it.
					pair.hasLost = true;
				} else {
					pairs.delete(pair);
					to.destroy();
				}
			};

			from.on('end', end);
			from.on('close', end);
			from.on('error', end);
		};

		forward(pair.near, pair.far);
		forward(pair.far, pair.near);
	});
	const ip = loopbackIp();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	return {
		address: `${ip}:${server.address().port}`,
		setMode(next) {
			mode = next;
			for (const pair of pairs) {
				if (next === 'open' && pair.hasLost) {
					pair.near.resetAndDestroy();
					pair.far.resetAndDestroy();
					pairs.delete(pair);
				}
			}
		},
		close() {
			server.close();
			for (const {near, far} of pairs) {
				near.destroy();
				far.destroy();
			}
		},
	};
};

/** The links between the zones of a site, and an entrance to the store for each zone. */
export class Sides {
	#store;
	#links = new Map();
	#entrances = [];
	/** The sides that are cut off from the store. */
	#storeCuts = new Set();
	/** Names of the hosts whose records each entrance has served. */
	#served = new Map();

	constructor(store) {
		this.#store = store;
	}

	/** Adds the link to a host from the other zones. */
	async addLink(host, side) {
		const link = await startLink(host.peers, text => this.#translate(text));
		if (link.address.length !== host.peers.length) {
			throw new Error('the addresses differ in length');
		}

		this.#links.set(host.name, {side, address: host.peers, link});
	}

	/**
	 * Opens an entrance to the store for the hosts of a zone. In the records that the hosts have written, those of other zones stand with the
	 * addresses of the links.
	 */
	async openEntrance(side) {
		this.#served.set(side, new Set());
		const [storeIp, storePort] = this.#store.address.split(':');
		const rewrite = text => {
			const page = JSON.parse(text);
			for (const item of page.items) {
				const record = JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
				const other = this.#links.get(record.name);
				this.#served.get(side).add(record.name);
				if (other !== undefined && other.side !== side) {
					record.address = other.link.address;
					item.value = Buffer.from(JSON.stringify(record)).toString('base64');
				}
			}

			return JSON.stringify(page);
		};

		const server = createHttpServer((request, response) => {
			if (this.#storeCuts.has(side)) {
				// A partition answers nothing.
				return;
			}

			const isHostsPage = request.url.startsWith('/api/log-newest') && request.url.includes(hostsTopic);
			const forwarded = sendRequest({
				host: storeIp, port: Number(storePort), method: request.method, path: request.url, headers: request.headers,
			}, answer => {
				const chunks = [];
				answer.on('data', chunk => {
					chunks.push(chunk);
				});
				answer.on('end', () => {
					if (this.#storeCuts.has(side)) {
						return;
					}

					const body = Buffer.concat(chunks);
					response.writeHead(answer.statusCode, {'content-type': 'application/json'});
					response.end(isHostsPage ? rewrite(body.toString('utf8')) : body);
				});
			});
			forwarded.on('error', () => {
				response.destroy();
			});
			request.pipe(forwarded);
		});
		const ip = loopbackIp();
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(0, ip, resolve);
		});
		this.#entrances.push(server);
		return `${ip}:${server.address().port}`;
	}

	/** Opens the links once each zone has read the records of all hosts. */
	async open() {
		const isKnown = () => [...this.#served.values()].every(names => names.size === this.#links.size);
		const until = performance.now() + openTimeoutMs;
		while (!isKnown()) {
			if (performance.now() > until) {
				throw new Error('the hosts have not read each other\'s records');
			}

			// eslint-disable-next-line no-await-in-loop -- a pause between two checks
			await sleep(pollMs);
		}

		await sleep(settleMs);
		this.#setMode('open');
	}

	/** Cuts the zones off from each other, or ends that. */
	setCut(isCut) {
		this.#setMode(isCut ? 'cut' : 'open');
	}

	/** Cuts the hosts of a side off from the store, or ends that. Channels on which a response was lost stay silent. */
	setStoreCut(side, isCut) {
		if (isCut) {
			this.#storeCuts.add(side);
		} else {
			this.#storeCuts.delete(side);
		}
	}

	close() {
		for (const server of this.#entrances) {
			server.closeAllConnections();
			server.close();
		}

		for (const {link} of this.#links.values()) {
			link.close();
		}
	}

	/** Bytes that pass between the zones: a host of the sender's zone is known by its own address there, and by its link on the other side. */
	#translate(text) {
		let translated = text;
		if (text.includes('"address"')) {
			for (const {address, link} of this.#links.values()) {
				translated = translated.replaceAll(`"${address}"`, '"\0"').replaceAll(`"${link.address}"`, `"${address}"`).replaceAll('"\0"', `"${link.address}"`);
			}
		}

		return translated;
	}

	#setMode(mode) {
		for (const {link} of this.#links.values()) {
			link.setMode(mode);
		}
	}
}
