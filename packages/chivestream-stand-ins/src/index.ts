/** Stand-ins for the outside systems: log, host list, minions, workers, balancer and links. */
export * from './balancer.js';
export * from './fake-clock.js';
export * from './hosts.js';
export * from './link.js';
export * from './log.js';
export * from './memory-stream.js';
export * from './minion.js';
export * from './outage.js';
export * from './start-counts.js';
export * from './task-faults.js';
export * from './upstream-routes.js';
export * from './worker.js';
export * from './cluster/index.js';
