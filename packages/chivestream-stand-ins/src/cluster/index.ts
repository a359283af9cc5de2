/** Starts a whole system as processes on loopback. */
export * from './cluster.js';
export * from './launched-entry.js';
export * from './launched-process.js';
export * from './launched-stand-in.js';
export * from './ports.js';
export * from './upstream-fleet.js';
export * from './metrics-reader.js';
