/** The report on service-level burn, and the recorder that entry hosts feed it from. */
export * from './burn.js';
export * from './format-html.js';
export * from './format-text.js';
export * from './judge.js';
export * from './recorder.js';
export * from './schemas.js';
