/** Decisions of one entry host: placement, admission, fairness and retries. */
export * from './create-scheduler.js';
export type * from './scheduler.js';
export * from './slot-share.js';
export * from './target-view.js';
