/** Plays racing operators, lost answers, snapshots and retention on one stream and lists what went wrong. */
import {type StreamRecord} from 'chivestream-log';
import {type Change} from '../command.js';
import {
	applyPage, heldOffset, initialReader, nextOffset, type Reader, readerRules, type ReaderRules,
} from '../reader.js';
import {createSnapshot, formatState} from '../snapshot.js';
import {findVerdict, type Verdict, verdictOutcome} from '../state.js';
import {createCommand, sampleDeclarations} from './declarations.js';
import {FakeStream} from './fake-stream.js';

/** One step of a scenario; `host` chooses a reader. */
export type Step
	= | {kind: 'submit'; host: number; change: Change; copies: number}
		| {kind: 'repeat'; command: number}
		| {kind: 'read'; host: number; limit: number}
		| {kind: 'snapshot'; host: number}
		| {kind: 'drop'; share: number};

const partLength = 400;
const readsToCatchUp = 500;

/** A run of a scenario on three readers; every reader goes by the same rules. */
class Run {
	readonly violations: string[] = [];
	readonly stream = new FakeStream();
	readonly readers: Reader[] = [initialReader, initialReader, initialReader];
	readonly accepted = new Map<string, Verdict>();
	readonly commands: unknown[] = [];
	readonly rules: ReaderRules;

	constructor(rules: ReaderRules) {
		this.rules = rules;
	}

	append(value: unknown): void {
		const record: StreamRecord = {offset: this.stream.next, at: 0, value: structuredClone(value)};
		this.stream.records.push(record);
	}

	reader(host: number): Reader {
		return this.readers[host % this.readers.length] ?? initialReader;
	}

	read(host: number, limit: number): void {
		const index = host % this.readers.length;
		const before = this.reader(index);
		const after = applyPage(before, this.stream.page(nextOffset(before), limit), this.rules);
		const isBack = after.state.configuration.version < before.state.configuration.version;
		if (isBack || heldOffset(after) < heldOffset(before)) {
			this.violations.push('a reader went back');
		}

		this.readers[index] = after;
		this.checkVerdicts(after);
	}

	/** An accepted command stays accepted as the same version, and each version has one. */
	checkVerdicts({state}: Reader): void {
		for (const verdict of state.verdicts) {
			const known = this.accepted.get(verdict.commandId);
			if (known && (known.outcome !== verdict.outcome || known.version !== verdict.version)) {
				this.violations.push('an accepted command has another verdict');
			}

			if (verdict.outcome === verdictOutcome.accepted) {
				this.accepted.set(verdict.commandId, verdict);
			}
		}

		const versions = [...this.accepted.values()].map(({version}) => version);
		if (new Set(versions).size < versions.length) {
			this.violations.push('a version has two winners');
		}

		for (const [commandId, {version}] of this.accepted) {
			if (commandId.split('/')[1] !== String(version - 1)) {
				this.violations.push('a command took effect on another version than its own');
			}
		}
	}

	submit({host, change, copies}: Extract<Step, {kind: 'submit'}>): void {
		const {version} = this.reader(host).state.configuration;
		const command = createCommand(`c${this.commands.length}/${version}`, version, change);
		this.commands.push(command);
		for (let copy = 0; copy < copies; copy += 1) {
			this.append(command);
		}
	}

	/** Retention drops records, but none that no snapshot in what remains makes up for, as the writer sees to. */
	drop(share: number): void {
		const limit = Math.floor(this.stream.next * share);
		const ends = this.stream.records
			.filter(({value}) => (value as {kind: string}).kind === 'snapshot')
			.map(({value, offset}) => ({...(value as {covers: number; part: number; parts: number}), offset}))
			.filter(({part, parts}) => part === parts - 1)
			.map(({covers, parts, offset}) => Math.min(covers + 1, offset - parts + 1));
		this.stream.dropBelow(Math.min(limit, Math.max(0, ...ends)));
	}

	step(step: Step): void {
		switch (step.kind) {
			case 'submit': {
				this.submit(step);
				break;
			}

			case 'repeat': {
				if (this.commands.length > 0) {
					this.append(this.commands[step.command % this.commands.length]);
				}

				break;
			}

			case 'read': {
				this.read(step.host, step.limit);
				break;
			}

			case 'snapshot': {
				const {state} = this.reader(step.host);
				for (const part of heldOffset(this.reader(step.host)) < 0 ? [] : createSnapshot(state, partLength)) {
					this.append(part);
				}

				break;
			}

			case 'drop': {
				this.drop(step.share);
				break;
			}
		}
	}

	/** Lets every reader, and a new one, read to the end: all must hold the same. */
	finish(): void {
		this.readers.push(initialReader);
		for (const host of this.readers.keys()) {
			for (let read = 0; read < readsToCatchUp && heldOffset(this.reader(host)) < this.stream.next - 1; read += 1) {
				this.read(host, 50);
			}
		}

		const states = new Set(this.readers.map(({state}) => formatState(state)));
		if (states.size > 1) {
			this.violations.push('readers of the same log hold different states');
		}

		for (const commandId of this.accepted.keys()) {
			if (!findVerdict(this.reader(0).state, commandId)) {
				this.violations.push('an accepted command is not known');
			}
		}
	}
}

/** Plays the steps and lists what went wrong, each kind once. */
export const playScenario = (steps: readonly Step[], rules: ReaderRules = readerRules): string[] => {
	const run = new Run(rules);
	run.append(createCommand('c/0', 0, {kind: 'replace', declarations: sampleDeclarations}));
	for (const step of steps) {
		run.step(step);
	}

	run.finish();
	return [...new Set(run.violations)];
};
