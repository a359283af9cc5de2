/** Scheduling decisions of a dispatcher, without I/O. */
export * from './admission.js';
export * from './backlog.js';
export * from './crash.js';
export * from './minion-pool.js';
export * from './dispatcher.js';
export * from './job.js';
export * from './jobs-elsewhere.js';
export * from './lease.js';
export * from './minion.js';
export * from './outcome.js';
export * from './placement.js';
export * from './runs.js';
export * from './slowness.js';
export * from './job-order.js';
