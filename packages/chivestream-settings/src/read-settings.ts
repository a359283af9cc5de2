/** Validates JSON with comments against a schema and reports all faults at once. */
import {readFile} from 'node:fs/promises';
import {Failure, failureCode} from 'chivestream-core';
import jsonc, {type Node, type ParseError} from 'jsonc-parser';
import {Err, Ok, type Result} from 'ts-results-es';
import {type z} from 'zod';
import {
	type Fault, describeIssue, formatFaults, formatPath, formatValue,
} from './fault.js';
import {knownFields} from './known-fields.js';

const step = 'read-settings';

/** Converts an offset in a text to its line and column, both counted from 1. */
const lineAndColumn = (text: string, offset: number): {line: number; column: number} => {
	const before = text.slice(0, offset);
	const lineStart = before.lastIndexOf('\n') + 1;
	return {line: before.split('\n').length, column: offset - lineStart + 1};
};

const splitWords = (name: string): string => name.replaceAll(/[A-Z]/gv, letter => ` ${letter.toLowerCase()}`).trim();

const syntaxFault = (text: string, error: ParseError): Fault => ({
	...lineAndColumn(text, error.offset),
	field: '',
	value: JSON.stringify(text.slice(error.offset, error.offset + Math.max(error.length, 1))),
	allowed: 'JSON with comments',
	fix: `correct the syntax here (${splitWords(jsonc.printParseErrorCode(error.error))})`,
});

/** Finds fields given more than once in an object. They are faults because JSON parsing would silently drop all but one value. */
const findDuplicates = (text: string, node: Node): Fault[] => {
	const faults: Fault[] = [];
	const names = new Set<string>();
	for (const child of node.children ?? []) {
		const nameNode = child.type === 'property' ? child.children?.[0] : undefined;
		const name = String(nameNode?.value);
		if (nameNode && names.has(name)) {
			const path = [...jsonc.getNodePath(node), name];
			faults.push({
				...lineAndColumn(text, nameNode.offset),
				field: formatPath(path),
				value: 'given twice',
				allowed: 'each field once',
				fix: 'remove one of the two',
			});
		}

		names.add(name);
		faults.push(...findDuplicates(text, child));
	}

	return faults;
};

const findNode = (root: Node, path: readonly PropertyKey[]): Node | undefined =>
	jsonc.findNodeAtLocation(root, path.map(part => typeof part === 'number' ? part : String(part)));

/** Returns the node at a path, or its nearest existing ancestor if the field is missing. */
const findNearestNode = (root: Node, path: readonly PropertyKey[]): Node => {
	for (let {length} = path; length > 0; length -= 1) {
		const node = findNode(root, path.slice(0, length));
		if (node) {
			return node;
		}
	}

	return root;
};

const findValue = (root: Node, path: readonly PropertyKey[]): unknown => {
	const node = findNode(root, path);
	return node && (jsonc.getNodeValue(node) as unknown);
};

const unknownFieldFaults = (
	text: string,
	root: Node,
	schema: z.ZodType,
	issue: z.core.$ZodIssueUnrecognizedKeys,
): Fault[] => {
	const fields = knownFields(schema, issue.path);
	const allowed = fields.length > 0 ? `only ${fields.join(', ')}` : 'no field here';
	return issue.keys.map(key => {
		const path = [...issue.path, key];
		const node = findNearestNode(root, path);
		return {
			...lineAndColumn(text, node.parent?.offset ?? node.offset),
			field: formatPath(path),
			value: 'not a known field',
			allowed,
			fix: 'remove it or correct its name',
		};
	});
};

const issueFaults = (text: string, root: Node, schema: z.ZodType, issue: z.core.$ZodIssue): Fault[] => {
	if (issue.code === 'unrecognized_keys') {
		return unknownFieldFaults(text, root, schema, issue);
	}

	const node = findNearestNode(root, issue.path);
	const description = describeIssue(issue);
	const field = formatPath(issue.path);
	const value = formatValue(issue.path, findValue(root, issue.path));
	const fix = value === undefined ? `add ${field}` : description.fix;
	return [{
		...lineAndColumn(text, node.offset), field, value, allowed: description.allowed, fix,
	}];
};

/** Parses and validates a text. The error lists all faults in text order; for invalid syntax, only the syntax errors. */
export const checkText = <Schema extends z.ZodType>(text: string, schema: Schema): Result<z.output<Schema>, Fault[]> => {
	const errors: ParseError[] = [];
	const root = jsonc.parseTree(text, errors, {allowTrailingComma: true});
	if (errors.length > 0 || !root) {
		return new Err(errors.map(error => syntaxFault(text, error)));
	}

	const duplicates = findDuplicates(text, root);
	const parsed = schema.safeParse(jsonc.getNodeValue(root));
	const issues = parsed.success ? [] : parsed.error.issues.flatMap(issue => issueFaults(text, root, schema, issue));
	const faults = [...duplicates, ...issues];
	if (!parsed.success || faults.length > 0) {
		return new Err(faults.toSorted((left, right) => left.line - right.line || left.column - right.column));
	}

	return new Ok(parsed.data);
};

/**
Reads settings from a text in JSON with comments. The error message lists every fault with its line, column, field, value, the
allowed values and how to fix it. `source` is the name of the text in that message.
*/
export const readSettings = <Schema extends z.ZodType>(
	text: string,
	schema: Schema,
	source = 'settings',
): Result<z.output<Schema>, Failure> =>
	checkText(text, schema).mapErr(faults =>
		new Failure(failureCode.settingsInvalid, formatFaults(source, faults), {step, peer: source}));

/** Reads settings from a file. Fails like `readSettings`, or with the reason why the file cannot be read. */
export const readSettingsFile = async <Schema extends z.ZodType>(
	path: string,
	schema: Schema,
): Promise<Result<z.output<Schema>, Failure>> => {
	try {
		return readSettings(await readFile(path, 'utf8'), schema, path);
	} catch (error) {
		const message = `${path} cannot be read; give the path of a readable file (${String(error)})`;
		return new Err(new Failure(failureCode.settingsInvalid, message, {step, peer: path}, {cause: error}));
	}
};
