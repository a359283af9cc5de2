/** Runs concurrent operators, repeated appends, snapshots and retention on one stream and lists the violations. */
import {type StreamRecord} from 'chivestream-log';
import {type Change} from '../command.js';
import {
	applyPage, heldOffset, initialReader, nextOffset, type Reader, defaultReaderRules, type ReaderRules,
} from '../reader.js';
import {createSnapshot, formatState} from '../snapshot.js';
import {findVerdict, type Verdict, verdictOutcome} from '../state.js';
import {createCommand, sampleDeclarations} from './declarations.js';
import {FakeStream} from './fake-stream.js';

/** One step of a scenario. `host` selects a reader; `share` is the fraction of the records that retention may drop. */
export type Step
	= | {kind: 'submit'; host: number; change: Change; copies: number}
		| {kind: 'repeat'; command: number}
		| {kind: 'read'; host: number; limit: number}
		| {kind: 'snapshot'; host: number}
		| {kind: 'drop'; share: number};

const snapshotPartLength = 400;
const maxReadsToCatchUp = 500;

/** A run of a scenario on three readers with the same rules. */
class ScenarioRun {
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
			this.violations.push('a reader reverted to an earlier state');
		}

		this.readers[index] = after;
		this.checkVerdicts(after);
	}

	/** Checks that an accepted command keeps its verdict and version, and that each version has one accepted command. */
	checkVerdicts({state}: Reader): void {
		for (const verdict of state.verdicts) {
			const known = this.accepted.get(verdict.commandId);
			if (known && (known.outcome !== verdict.outcome || known.version !== verdict.version)) {
				this.violations.push('the verdict on an accepted command changed');
			}

			if (verdict.outcome === verdictOutcome.accepted) {
				this.accepted.set(verdict.commandId, verdict);
			}
		}

		const versions = [...this.accepted.values()].map(({version}) => version);
		if (new Set(versions).size < versions.length) {
			this.violations.push('two commands were accepted as the same version');
		}

		for (const [commandId, {version}] of this.accepted) {
			if (commandId.split('/')[1] !== String(version - 1)) {
				this.violations.push('a command took effect on a version other than its base version');
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

	/** Drops records as retention does, but only those that a snapshot in the remaining records covers; the snapshot writer ensures the same. */
	drop(share: number): void {
		const limit = Math.floor(this.stream.next * share);
		const safeLimits = this.stream.records
			.filter(({value}) => (value as {kind: string}).kind === 'snapshot')
			.map(({value, offset}) => ({...(value as {covers: number; part: number; parts: number}), offset}))
			.filter(({part, parts}) => part === parts - 1)
			.map(({covers, parts, offset}) => Math.min(covers + 1, offset - parts + 1));
		this.stream.dropBelow(Math.min(limit, Math.max(0, ...safeLimits)));
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
				for (const part of heldOffset(this.reader(step.host)) < 0 ? [] : createSnapshot(state, snapshotPartLength)) {
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

	/** Checks that every reader, and a new one, hold the same state after reading to the end. */
	finish(): void {
		this.readers.push(initialReader);
		for (const host of this.readers.keys()) {
			for (let read = 0; read < maxReadsToCatchUp && heldOffset(this.reader(host)) < this.stream.next - 1; read += 1) {
				this.read(host, 50);
			}
		}

		const states = new Set(this.readers.map(({state}) => formatState(state)));
		if (states.size > 1) {
			this.violations.push('readers of the same log hold different states');
		}

		for (const commandId of this.accepted.keys()) {
			if (!findVerdict(this.reader(0).state, commandId)) {
				this.violations.push('an accepted command has no verdict');
			}
		}
	}
}

/** Runs the steps and lists the violations, each kind once. */
export const runScenario = (steps: readonly Step[], rules: ReaderRules = defaultReaderRules): string[] => {
	const run = new ScenarioRun(rules);
	run.append(createCommand('c/0', 0, {kind: 'replace', declarations: sampleDeclarations}));
	for (const step of steps) {
		run.step(step);
	}

	run.finish();
	return [...new Set(run.violations)];
};
