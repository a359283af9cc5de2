/** Entry host to entry host. */
export * from './client.js';
export * from './handlers.js';
export * from './peer-failure.js';
export * from './service.js';
