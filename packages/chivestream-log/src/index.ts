/** Clients of the platform's services. */
export * from './host-list.js';
export * from './log.js';
export * from './stream.js';
