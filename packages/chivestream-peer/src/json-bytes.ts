/** Conversion of text and JSON values to and from the byte fields of messages between entry hosts. */
import {Buffer} from 'node:buffer';
import {
	answerState, Failure, failureCode, type Configuration, type Job, type JobAnswer,
} from 'chivestream-core';

type Guard<Value> = (value: unknown) => value is Value;

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;

/** Encodes text as UTF-8. */
export const encodeText = (text: string): Uint8Array => Buffer.from(text);

/** Decodes UTF-8 bytes. */
export const decodeText = (bytes: Uint8Array): string =>
	Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8');

/** Encodes a value as JSON in UTF-8; undefined is encoded as no bytes. */
export const encodeJson = (value: unknown): Uint8Array =>
	value === undefined ? new Uint8Array() : encodeText(JSON.stringify(value));

/** Decodes JSON bytes. Throws a `Failure` with `protocol-error` if `isExpected` returns false for the value. */
export const decodeJson = <Value>(bytes: Uint8Array, isExpected: Guard<Value>): Value => {
	const value: unknown = JSON.parse(decodeText(bytes));
	if (isExpected(value)) {
		return value;
	}

	throw new Failure(failureCode.protocolError, 'the message contains JSON of an unexpected shape', {step: 'decode', peer: ''});
};

/** Like `decodeJson`, but returns undefined for no bytes. */
export const decodeOptionalJson = <Value>(bytes: Uint8Array, isExpected: Guard<Value>): Value | undefined =>
	bytes.length === 0 ? undefined : decodeJson(bytes, isExpected);

/** Whether a value looks like a job. Checks only the key and that there are tasks. */
export const isJob = (value: unknown): value is Job =>
	isObject(value) && typeof value.key === 'string' && Array.isArray(value.tasks);

/** Whether a value looks like the answer to a job. Checks only the key and the type of results or failure. */
export const isJobAnswer = (value: unknown): value is JobAnswer => {
	if (!isObject(value) || typeof value.key !== 'string') {
		return false;
	}

	return value.state === answerState.complete ? Array.isArray(value.results) : isObject(value.failure);
};

/** Whether a value looks like a configuration. Checks only the types of offset and declarations. */
export const isConfiguration = (value: unknown): value is Configuration =>
	isObject(value) && typeof value.offset === 'number' && isObject(value.declarations);
