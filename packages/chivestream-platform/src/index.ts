/** Clients of the platform's services. */
export * from './stream.js';
