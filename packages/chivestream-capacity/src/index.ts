/** Measures how state size, message size, CPU time and memory grow with the size of the input. */
export * from './format.js';
export * from './line-fit.js';
export * from './measurements/index.js';
export * from './options.js';
export * from './slope.js';
