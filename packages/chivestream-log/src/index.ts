/** Clients of the platform's log and host list. */
export * from './host-list.js';
export * from './log.js';
export * from './stream.js';
