/** Entry host to entry host. */
export * from './handlers.js';
