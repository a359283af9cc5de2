/** Decisions of one entry host: placement, admission, fairness and retries. */
export type * from './scheduler.js';
