/** Failures of calls to another entry host, with what is known of the call's delivery. */
import {
	Failure, type FailureCode, type FailureOrigin,
} from 'chivestream-core';

/** How far a failed call got. */
export const delivery = {
	/** Certain: no byte of the request was written. */
	none: 'not-delivered',
	/** The other host received the request and refused it with the failure that it names. */
	refused: 'refused',
	/** The request may or may not have been received and carried out. */
	unknown: 'unknown',
} as const;

/** One of the degrees of delivery. */
export type Delivery = (typeof delivery)[keyof typeof delivery];

/** A failed call to another entry host. `peer` is its address, or where it failed further on. */
export class PeerFailure extends Failure {
	readonly delivery: Delivery;

	constructor(code: FailureCode, message: string, origin: FailureOrigin & {delivery: Delivery}, options?: ErrorOptions) {
		super(code, message, origin, options);
		this.name = 'PeerFailure';
		this.delivery = origin.delivery;
	}
}
