import {expect, test} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {idealMs, sortSlotSpeeds} from '../ideal.js';
import {planJobs} from '../plan.js';
import {deployments} from '../profiles.js';

const [deployment] = deployments;

test('the same seed plans the same jobs', () => {
	const plan = (seed: number) => planJobs(createRandom(seed), deployment, {endAt: 2000, rateFactor: 1});
	expect(plan(7)).toEqual(plan(7));
	expect(plan(8)).not.toEqual(plan(7));
});

test('jobs keep to their profiles', () => {
	const jobs = planJobs(createRandom(1), deployment, {endAt: 20_000, rateFactor: 1});
	for (const job of jobs) {
		const profile = deployment.profiles.find(({name}) => name === job.profile)!;
		expect(job.tasks.length).toBeGreaterThanOrEqual(profile.tasks.least);
		expect(job.tasks.length).toBeLessThanOrEqual(profile.tasks.most);
		expect(job.sendAt).toBeLessThan(20_000);
	}

	expect(new Set(jobs.map(({id}) => id)).size).toBe(jobs.length);
});

test('the ideal puts the longest task on the fastest slot', () => {
	const slotSpeeds = sortSlotSpeeds([{slots: 1, speed: 1}, {slots: 1, speed: 2}]);
	expect(slotSpeeds).toEqual([2, 1]);
	expect(idealMs([{runMs: 100, declaredMs: 1}, {runMs: 240, declaredMs: 1}], slotSpeeds)).toBe(120);
});
