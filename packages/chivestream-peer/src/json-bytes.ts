/** Texts and JSON values as the bytes that messages between entry hosts carry. */
import {Buffer} from 'node:buffer';
import {
	answerState, Failure, failureCode, type Configuration, type Job, type JobAnswer,
} from 'chivestream-core';

type Guard<Value> = (value: unknown) => value is Value;

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;

/** The UTF-8 bytes of a text. */
export const encodeText = (text: string): Uint8Array => Buffer.from(text);

/** The text whose UTF-8 bytes are given. */
export const decodeText = (bytes: Uint8Array): string =>
	Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8');

/** The UTF-8 bytes of a value's JSON text; no bytes for undefined. */
export const encodeJson = (value: unknown): Uint8Array =>
	value === undefined ? new Uint8Array() : encodeText(JSON.stringify(value));

/** The value whose JSON text the bytes hold. Throws a `Failure` with `protocol-error` if it is of another shape. */
export const decodeJson = <Value>(bytes: Uint8Array, isExpected: Guard<Value>): Value => {
	const value: unknown = JSON.parse(decodeText(bytes));
	if (isExpected(value)) {
		return value;
	}

	throw new Failure(failureCode.protocolError, 'the message holds JSON of another shape', {step: 'decode', peer: ''});
};

/** As `decodeJson`; undefined for no bytes. */
export const decodeOptionalJson = <Value>(bytes: Uint8Array, isExpected: Guard<Value>): Value | undefined =>
	bytes.length === 0 ? undefined : decodeJson(bytes, isExpected);

/** Whether a value has the outline of a job. */
export const isJob = (value: unknown): value is Job =>
	isObject(value) && typeof value.key === 'string' && Array.isArray(value.tasks);

/** Whether a value has the outline of an answer. */
export const isJobAnswer = (value: unknown): value is JobAnswer => {
	if (!isObject(value) || typeof value.key !== 'string') {
		return false;
	}

	return value.state === answerState.complete ? Array.isArray(value.results) : isObject(value.failure);
};

/** Whether a value has the outline of a configuration. */
export const isConfiguration = (value: unknown): value is Configuration =>
	isObject(value) && typeof value.offset === 'number' && isObject(value.declarations);
