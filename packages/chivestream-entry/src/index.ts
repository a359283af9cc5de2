/** The entry host. */
export * from './attempts.js';
export * from './claims.js';
export * from './dispatcher.js';
export * from './entry-host.js';
export * from './entry-process.js';
export * from './epochs.js';
export type * from './host-links.js';
export * from './job-checks.js';
export * from './job-registry.js';
export * from './job-router.js';
export * from './job-run.js';
export * from './lending.js';
