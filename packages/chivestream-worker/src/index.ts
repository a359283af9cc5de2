/** Client of the workers: tasks under leases. */
export * from './lease-client.js';
export * from './leases.js';
export * from './worker-client.js';
