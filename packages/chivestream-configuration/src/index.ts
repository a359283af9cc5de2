/** Declarations, the deterministic fold over the log of commands, and the follower that puts accepted versions in force. */
export * from './change.js';
export * from './command.js';
export * from './consistency-checks.js';
export * from './declarations-schema.js';
export * from './difference.js';
export * from './entries.js';
export * from './fold.js';
export * from './follower.js';
export * from './history.js';
export * from './log-view.js';
export * from './freshness-proof.js';
export * from './read-declarations.js';
export * from './reader.js';
export * from './snapshot.js';
export * from './snapshot-writer.js';
export * from './state.js';
export * from './submit.js';
