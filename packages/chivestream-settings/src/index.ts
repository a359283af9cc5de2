/** Reads and validates settings files in JSON with comments, and loads TLS files. */
export * from './address.js';
export * from './entry-settings.js';
export * from './fault.js';
export * from './read-settings.js';
export * from './tls.js';
