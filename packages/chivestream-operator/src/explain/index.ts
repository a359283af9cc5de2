/** Reconstructs the course and the outcome of a job from the hosts' logs. */
export * from './log-line.js';
export * from './job-timeline.js';
