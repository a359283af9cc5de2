/** Measures how state, messages, processor time and memory grow with size. */
export * from './format.js';
export * from './line-fit.js';
export * from './measurements/index.js';
export * from './options.js';
export * from './slope.js';
