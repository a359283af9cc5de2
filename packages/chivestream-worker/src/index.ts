/** Client that runs tasks on workers under leases. */
export * from './lease-client.js';
export * from './leases.js';
export * from './worker-client.js';
