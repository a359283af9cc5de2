/** The statement language of the operators, its evaluation, and the HTTP service that executes statements. */
export * from './evaluate.js';
export * from './language/fault.js';
export * from './language/parse.js';
export * from './language/syntax.js';
export * from './source.js';
export * from './tables/columns.js';
export * from './tables/job-state.js';
export * from './tables/rows.js';
export * from './answers.js';
export * from './peers/gather.js';
export {answerPeerRequest, maxRowsPerHost} from './peers/requests.js';
export {type DeclarationsCheck} from './execute/context.js';
export * from './service/service.js';
