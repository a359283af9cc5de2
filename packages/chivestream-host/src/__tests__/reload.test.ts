import {expect, test} from '@jest/globals';
import {applySettings, compareSettings} from '../reload.js';
import {hostSettingsSchema} from '../settings.js';

const settings = hostSettingsSchema.parse({
	host: {name: 'h', zone: 'z', cpuShare: 1},
	listen: {callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3'},
	seeds: ['127.0.0.2:3'],
	store: '127.0.0.3:4',
	bounds: {leaseMs: 1000, stopGraceSeconds: 6, farFactor: 3},
});

test('changes are grouped by whether they are applied at once or need a restart', () => {
	const after = {
		...settings, store: '127.0.0.9:4', seeds: [], bounds: {...settings.bounds, stopGraceSeconds: 9}, listen: {...settings.listen, metrics: '127.0.0.1:9'},
	};
	expect(compareSettings(settings, after)).toEqual({
		applied: ['seeds', 'bounds.stopGraceSeconds'], needsRestart: ['store', 'listen.metrics'],
	});
	expect(applySettings(settings, after)).toEqual({...settings, seeds: [], bounds: after.bounds});
});

test('equal settings have no changes', () => {
	expect(compareSettings(settings, structuredClone(settings))).toEqual({applied: [], needsRestart: []});
});
