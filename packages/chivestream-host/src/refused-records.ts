/** Records of the store that are refused. Each is logged once, not with each read. */
import {type Report} from './host-log.js';

/** Characters of a key that are logged. */
const maxKeyLength = 64;

const printable = (key: string): string => key.slice(0, maxKeyLength).replaceAll(/[^ -~]/gv, '?');

/** The refused records of one topic. */
export class RefusedRecords {
	private readonly report: Report;
	private readonly event: string;
	/** What is wrong, by key. */
	private readonly reasons = new Map<string, string>();

	/** `event` is logged with the key and the reason. */
	constructor(report: Report, event: string) {
		this.report = report;
		this.event = event;
	}

	/** Logs that a record is refused, unless the last one of this key was refused for the same reason. */
	note(key: string, reason: string): void {
		if (this.reasons.get(key) !== reason) {
			this.reasons.set(key, reason);
			this.report(this.event, {key: printable(key), reason});
		}
	}

	/** Forgets a key whose record is valid or gone. */
	forget(key: string): void {
		this.reasons.delete(key);
	}

	/** Forgets the keys that the topic no longer contains. */
	retain(keys: ReadonlySet<string>): void {
		for (const key of this.reasons.keys()) {
			if (!keys.has(key)) {
				this.reasons.delete(key);
			}
		}
	}
}
