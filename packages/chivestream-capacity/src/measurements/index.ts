/** Registry of all measurements. */
import {type Sampling, type Slope} from '../slope.js';
import {measureClaimAppends, measureHeldClaims} from './claims.js';
import {measureConfigurationByChanges, measureConfigurationByTeams, measureConfigurationByWorkers} from './configuration.js';
import {measureControlByChanges, measureControlByWorkers} from './control.js';
import {measureEntryProcess} from './entry-process.js';
import {measureKeptAnswers, measureKeyRegistry} from './key-registry.js';
import {measureLeaseRenewals} from './leases.js';
import {measureLendingPayload} from './lending.js';
import {measureQueuedTasks, measureSchedulerByHosts, measureSchedulerByTargets} from './scheduler.js';

/** A measurement that the command line can select. */
export type RegisteredMeasurement = {
	/** Sizes that the command line measures. */
	sizes: readonly number[];
	/** Small sizes that run quickly, for tests. */
	tinySizes: readonly number[];
	run: (sampling: Sampling) => Promise<Slope[]>;
};

const workerCounts = [30, 300, 1000, 2250, 4500];

/** Measurements by name. */
export const measurements: Readonly<Record<string, RegisteredMeasurement>> = {
	'key-registry': {sizes: [5000, 10_000, 20_000, 40_000], tinySizes: [10, 20, 30], run: measureKeyRegistry},
	'kept-answers': {sizes: [200, 1000, 4000, 16_000], tinySizes: [10, 20, 30], run: measureKeptAnswers},
	claims: {sizes: [5000, 10_000, 20_000, 40_000], tinySizes: [20, 40, 60], run: measureHeldClaims},
	'claim-appends': {sizes: [500, 1000, 2000, 4000, 8000], tinySizes: [5, 10, 20], run: measureClaimAppends},
	'configuration-by-workers': {sizes: workerCounts, tinySizes: [3, 5, 8], run: measureConfigurationByWorkers},
	'configuration-by-teams': {sizes: [15, 30, 60, 120], tinySizes: [12, 14, 16], run: measureConfigurationByTeams},
	'configuration-by-changes': {sizes: [1000, 4000, 8000, 13_000], tinySizes: [2, 4, 6], run: measureConfigurationByChanges},
	scheduler: {sizes: workerCounts, tinySizes: [2, 4, 6], run: measureSchedulerByTargets},
	'scheduler-by-hosts': {sizes: [3, 8, 16, 32], tinySizes: [1, 2, 3], run: measureSchedulerByHosts},
	queue: {sizes: [2000, 5000, 10_000, 20_000], tinySizes: [20, 40, 60], run: measureQueuedTasks},
	lending: {sizes: workerCounts, tinySizes: [2, 4, 6], run: measureLendingPayload},
	leases: {sizes: [25, 50, 100, 200], tinySizes: [1, 2, 3], run: measureLeaseRenewals},
	'control-by-workers': {sizes: [30, 1000, 2250, 4500], tinySizes: [2, 4, 6], run: measureControlByWorkers},
	'control-by-changes': {sizes: [1, 2, 3, 4], tinySizes: [10, 20, 30], run: measureControlByChanges},
	'entry-process': {sizes: [1, 20, 60, 180], tinySizes: [1, 2, 3], run: measureEntryProcess},
};
