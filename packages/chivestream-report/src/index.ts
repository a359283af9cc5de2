/** The report on service-level burn, and the recorder with which entry hosts collect its data. */
export * from './burn.js';
export * from './format-html.js';
export * from './format-text.js';
export * from './classify-answer.js';
export * from './recorder.js';
export * from './schemas.js';
