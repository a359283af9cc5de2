/** Stand-ins for the users' platform: the store, the minions, and a checker of what they see. */
export * from './checker.js';
export * from './http.js';
export * from './minion.js';
export * from './store.js';
export * from './soak/soak.js';
