/** Decisions of a dispatcher, apart from input and output. */
export * from './admission.js';
export * from './backlog.js';
export * from './book.js';
export * from './dispatcher.js';
export * from './job.js';
export * from './minion.js';
export * from './outcome.js';
export * from './placement.js';
export * from './runs.js';
export * from './slowness.js';
export * from './waiting.js';
