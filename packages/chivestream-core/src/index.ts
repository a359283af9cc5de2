/** Types and small functions shared by all packages. */
export * from './address.js';
export * from './attempt.js';
export * from './clock.js';
export * from './declarations.js';
export * from './digest.js';
export * from './failure.js';
export * from './histograms.js';
export * from './host.js';
export * from './job.js';
export * from './key.js';
export * from './log.js';
export * from './random.js';
