/** Faults of a settings file, in words that say where each stands and how to mend it. */
import {type z} from 'zod';

/** One fault with its place in the file. */
export type Fault = {
	/** Counted from 1. */
	line: number;
	/** Counted from 1. */
	column: number;
	/** Path of the field, such as `listen.caller` or `peers[2].zone`; empty for the file as a whole. */
	field: string;
	/** The value found, as JSON; undefined when the field is missing. */
	value: string | undefined;
	allowed: string;
	fix: string;
};

/** What is allowed in place of a faulty value, and how to mend it. */
export type Advice = {
	allowed: string;
	fix: string;
};

const secretPattern = /token|secret|password/iv;
const identifierPattern = /^[A-Za-z_]\w*$/v;
const maxShownLength = 60;
const replaceFix = 'replace it by a value that is allowed';

/** The text form of a path in a settings file. */
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

/** A value as short JSON; secrets are not shown. */
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

const describeBound = (word: string, isInclusive: boolean, bound: number | bigint, origin: string): Advice => {
	const noun = countNouns[origin] ?? '';
	const limit = isInclusive ? `${bound}${noun}` : `${bound}${noun}, not counting ${bound} itself`;
	return {allowed: `${word} ${limit}`, fix: replaceFix};
};

/** Words for an issue that zod found; a schema's own message says what is allowed. */
export const adviseOnIssue = (issue: z.core.$ZodIssue): Advice => {
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

/** One line for one fault. */
export const formatFault = (source: string, fault: Fault): string => {
	const place = `${source}:${fault.line}:${fault.column}`;
	const field = fault.field === '' ? 'the file' : fault.field;
	const finding = fault.value === undefined ? `${field} is missing or cannot be read` : `${field} is ${fault.value}`;
	return `${place}: ${finding}; allowed: ${fault.allowed}; to mend it, ${fault.fix}`;
};

/** All faults of a file, one a line below a heading. */
export const formatFaults = (source: string, faults: readonly Fault[]): string => {
	const heading = `${source} has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}:`;
	return [heading, ...faults.map(fault => `  ${formatFault(source, fault)}`)].join('\n');
};
