/** Transfer of the failure of a handler in the trailing metadata of a gRPC call. */
import {Buffer} from 'node:buffer';
import {Metadata, status, type ServiceError} from '@grpc/grpc-js';
import {failureCode, type Failure, type FailureCode} from 'chivestream-core';

const metadataKey = 'chivestream-failure-bin';
const knownCodes = new Set<string>(Object.values(failureCode));

/** Fields of a failure that are sent to the other host. */
export type FailureRecord = Pick<Failure, 'code' | 'message' | 'step' | 'peer'>;

/** Converts the failure of a handler to the gRPC error that carries it. */
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
	return knownCodes.has(code) && [message, step, peer].every(field => typeof field === 'string');
};

/** Reads the failure of a handler from a gRPC error; undefined if it carries none. */
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

/** Returns the failure code of a call whose error carries no failure of a handler. */
export const failureCodeOfStatus = (error: ServiceError): FailureCode => failureCodesByStatus.get(error.code) ?? failureCode.protocolError;
