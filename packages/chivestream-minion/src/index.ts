/** The HTTP client that runs attempts on minions. */
export * from './client.js';
export * from './exchange.js';
