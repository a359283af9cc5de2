/** Failures of calls to another entry host, with the delivery state of the request. */
import {
	Failure, type FailureCode, type FailureOrigin,
} from 'chivestream-core';

/** Whether the request of a failed call was delivered. */
export const delivery = {
	/** No byte of the request was written, so it cannot have been received. */
	none: 'not-delivered',
	/** The other host received the request and refused it with this failure. */
	refused: 'refused',
	/** The request may or may not have been received and processed. */
	unknown: 'unknown',
} as const;

/** One of the values of `delivery`. */
export type Delivery = (typeof delivery)[keyof typeof delivery];

/** A failed call to another entry host. `peer` is its address, or the place of the failure that the other host reports. */
export class PeerFailure extends Failure {
	readonly delivery: Delivery;

	constructor(code: FailureCode, message: string, origin: FailureOrigin & {delivery: Delivery}, options?: ErrorOptions) {
		super(code, message, origin, options);
		this.name = 'PeerFailure';
		this.delivery = origin.delivery;
	}
}
