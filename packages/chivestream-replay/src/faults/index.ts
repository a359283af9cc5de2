/** Seeded runs that inject faults into entry hosts in memory and count violations of the guarantees to callers. */
export * from './availability.js';
export * from './fault-plan.js';
export * from './run-faults.js';
export * from './run-seed.js';
export {safeguard, type Safeguard} from './safeguards.js';
