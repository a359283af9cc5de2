/** How long a run may go on after the last renewal of its minion's lease. */

/** Safety factor on the length of a lease: a minion's clock may run 2% slow, and twice that is allowed for. */
const driftFactor = 1.04;

/** Time allowed for a renewal to reach the minion and take effect, in milliseconds. */
const deliveryMs = 50;

/** Time after the last renewal was sent by which every run under the lease has ended, in milliseconds. */
export const leaseExpiryMs = (leaseMs: number): number => (leaseMs * driftFactor) + deliveryMs;
