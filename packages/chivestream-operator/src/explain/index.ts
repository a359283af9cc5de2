/** Explains from the hosts' logs what became of a job. */
export * from './log-line.js';
export * from './story.js';
