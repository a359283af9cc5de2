/** Scheduling decisions of one entry host: placement, admission, fairness between teams, retries and slot lending. */
export * from './create-scheduler.js';
export * from './heap.js';
export * from './lender-selector.js';
export {defaultLendingPolicies, type LendingPolicy} from './lending.js';
export * from './policies.js';
export type * from './scheduler.js';
export * from './slot-share.js';
export * from './target-view.js';
