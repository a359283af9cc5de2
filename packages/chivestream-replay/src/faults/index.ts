/** A seeded run over all faults together. */
export * from './availability.js';
export * from './fault-plan.js';
export * from './run-faults.js';
export * from './run-seed.js';
export {mechanism, type Mechanism} from './switches.js';
