/** Stand-ins for the store and the minions of the users' platform, a checker of invariants, and the soak test. */
export * from './checker.js';
export * from './http.js';
export * from './minion.js';
export * from './store.js';
export * from './soak/soak.js';
export * from './soak/host-process.js';
