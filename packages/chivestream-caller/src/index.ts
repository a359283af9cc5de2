/** The HTTP service for callers and its client. */
export * from './client.js';
export * from './service.js';
export * from './status.js';
export * from './validation.js';
