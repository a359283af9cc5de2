/** Checked settings files in JSON with comments. */
export * from './address.js';
export * from './entry-settings.js';
export * from './fault.js';
export * from './read-settings.js';
export * from './tls.js';
