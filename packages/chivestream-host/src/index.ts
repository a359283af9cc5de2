/** An entry host that runs on the users' platform. */
export * from './caller-service.js';
export * from './declarations-follower.js';
export * from './election.js';
export * from './host.js';
export * from './host-log.js';
export * from './job-client.js';
export type * from './messages.js';
export * from './settings.js';
export * from './timing.js';
