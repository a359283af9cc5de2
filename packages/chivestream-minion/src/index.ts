/** Client of the minions. */
export * from './client.js';
export * from './exchange.js';
