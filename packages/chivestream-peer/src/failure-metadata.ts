/** A handler's failure in the trailing metadata of a gRPC call. */
import {Buffer} from 'node:buffer';
import {Metadata, status, type ServiceError} from '@grpc/grpc-js';
import {failureCode, type Failure, type FailureCode} from 'chivestream-core';

const metadataKey = 'chivestream-failure-bin';
const knownCodes = new Set<string>(Object.values(failureCode));

/** What a failure keeps on its way to another host. */
export type FailureRecord = Pick<Failure, 'code' | 'message' | 'step' | 'peer'>;

/** The gRPC error that carries a handler's failure to the caller. */
export const toServiceError = (failure: Failure): Partial<ServiceError> => {
	const {code, message, step, peer} = failure;
	const metadata = new Metadata();
	metadata.set(metadataKey, Buffer.from(JSON.stringify({
		code, message, step, peer,
	})));
	return {code: status.ABORTED, details: code, metadata};
};

const isFailureRecord = (value: unknown): value is FailureRecord => {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {code, message, step, peer} = {
		code: '', message: undefined, step: undefined, peer: undefined, ...value,
	};
	return knownCodes.has(code) && [message, step, peer].every(part => typeof part === 'string');
};

/** The handler's failure that a gRPC error carries; undefined where it carries none. */
export const readFailure = (error: ServiceError): FailureRecord | undefined => {
	const [bytes] = error.metadata?.get(metadataKey) ?? [];
	if (!Buffer.isBuffer(bytes)) {
		return undefined;
	}

	const value: unknown = JSON.parse(bytes.toString('utf8'));
	return isFailureRecord(value) ? value : undefined;
};

const failureCodesByStatus = new Map<status, FailureCode>([
	[status.DEADLINE_EXCEEDED, failureCode.timedOut],
	[status.UNAVAILABLE, failureCode.connectionFailed],
	[status.CANCELLED, failureCode.connectionFailed],
	[status.RESOURCE_EXHAUSTED, failureCode.tooLarge],
]);

/** The code of a call that failed without a word from its handler. */
export const failureCodeOfStatus = (error: ServiceError): FailureCode => failureCodesByStatus.get(error.code) ?? failureCode.protocolError;
