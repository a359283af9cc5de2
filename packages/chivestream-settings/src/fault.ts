/** Formats the faults of a settings file as messages with their position and how to fix them. */
import {type z} from 'zod';

/** A fault and its position in the file. */
export type Fault = {
	/** Counted from 1. */
	line: number;
	/** Counted from 1. */
	column: number;
	/** Path of the field, such as `listen.caller` or `peers[2].zone`; empty for the file as a whole. */
	field: string;
	/** The value found, as JSON; undefined when the field is missing. */
	value: string | undefined;
	/** Description of the allowed values. */
	allowed: string;
	/** How to fix the fault, as a phrase that completes "to fix it, …". */
	fix: string;
};

/** The allowed values in place of a faulty one and how to fix it, both worded as in `Fault`. */
export type IssueDescription = {
	allowed: string;
	fix: string;
};

const secretPattern = /token|secret|password/iv;
const identifierPattern = /^[A-Za-z_]\w*$/v;
const maxShownLength = 60;
const replaceFix = 'replace it with an allowed value';

/** Formats a path in a settings file, such as `peers[2].zone`; names that are not identifiers are quoted in brackets. */
export const formatPath = (path: readonly PropertyKey[]): string => {
	let text = '';
	for (const part of path) {
		if (typeof part === 'string' && identifierPattern.test(part)) {
			text += text === '' ? part : `.${part}`;
		} else {
			text += `[${typeof part === 'number' ? part : JSON.stringify(String(part))}]`;
		}
	}

	return text;
};

/** Formats a value as JSON, cut after 60 characters. Values of fields named like a token, secret or password are hidden. */
export const formatValue = (path: readonly PropertyKey[], value: unknown): string | undefined => {
	if (value === undefined) {
		return undefined;
	}

	if (path.some(part => secretPattern.test(String(part)))) {
		return '(not shown)';
	}

	const text = JSON.stringify(value);
	return text.length > maxShownLength ? `${text.slice(0, maxShownLength)}…` : text;
};

const typeNames: Record<string, string> = {
	string: 'a text in quotes',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
	array: 'a list in [ ]',
	object: 'an object in { }',
	record: 'an object in { }',
};

const countNouns: Record<string, string> = {
	string: ' characters',
	array: ' in the list',
};

const describeBound = (word: string, isInclusive: boolean, bound: number | bigint, origin: string): IssueDescription => {
	const noun = countNouns[origin] ?? '';
	const limit = isInclusive ? `${bound}${noun}` : `${bound}${noun}, not counting ${bound} itself`;
	return {allowed: `${word} ${limit}`, fix: replaceFix};
};

/** Describes an issue reported by zod. For formats and custom checks, the message in the schema describes the allowed values. */
export const describeIssue = (issue: z.core.$ZodIssue): IssueDescription => {
	switch (issue.code) {
		case 'invalid_type': {
			const allowed = typeNames[issue.expected] ?? issue.expected;
			return {allowed, fix: replaceFix};
		}

		case 'too_small': {
			return describeBound('at least', issue.inclusive ?? true, issue.minimum, issue.origin);
		}

		case 'too_big': {
			return describeBound('at most', issue.inclusive ?? true, issue.maximum, issue.origin);
		}

		case 'invalid_value': {
			const allowed = issue.values.map(value => JSON.stringify(value)).join(' or ');
			return {allowed, fix: replaceFix};
		}

		case 'custom': {
			const fix: unknown = issue.params?.fix;
			return {allowed: issue.message, fix: typeof fix === 'string' ? fix : replaceFix};
		}

		case 'invalid_element':
		case 'invalid_format':
		case 'invalid_key':
		case 'invalid_union':
		case 'not_multiple_of':
		case 'unrecognized_keys': {
			return {allowed: issue.message, fix: replaceFix};
		}
	}
};

/** Formats a fault as one line; `source` is the file name. */
export const formatFault = (source: string, fault: Fault): string => {
	const position = `${source}:${fault.line}:${fault.column}`;
	const field = fault.field === '' ? 'the file' : fault.field;
	const finding = fault.value === undefined ? `${field} is missing or cannot be read` : `${field} is ${fault.value}`;
	return `${position}: ${finding}; allowed: ${fault.allowed}; to fix it, ${fault.fix}`;
};

/** Formats all faults of a file, one per line below a heading. */
export const formatFaults = (source: string, faults: readonly Fault[]): string => {
	const heading = `${source} has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}:`;
	return [heading, ...faults.map(fault => `  ${formatFault(source, fault)}`)].join('\n');
};
