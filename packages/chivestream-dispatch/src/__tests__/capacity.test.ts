import {describe, expect, test} from '@jest/globals';
import {createRecordedDispatcher, jobRequest, minionRecord} from '../__fixtures__/recorded-dispatcher.js';
import {outcomeKind, startAnswer} from '../index.js';

const jobId = (index: number) => `00000000000000a${index}`;

const longJob = (index: number, count = 1) => jobRequest(jobId(index), {objectiveDeadline: 60_000, deadline: 60_000}, count);

const withCapacity = (millicores: number, bornAt = 1) => minionRecord('m', {bornAt, capacity: {millicores, memoryMb: 65_536, accelerators: 0}});

/** A dispatcher with one minion that has a capacity for two tasks. */
const createDispatcher = () => {
	const recorded = createRecordedDispatcher([withCapacity(32_000)]);
	recorded.report('m');
	return recorded;
};

describe('a capacity that shrinks', () => {
	test('below what runs admits no run until enough of them have ended', () => {
		const recorded = createDispatcher();
		recorded.submit(longJob(1, 2));
		recorded.submit(longJob(2));
		const [first, second] = recorded.starts;
		recorded.dispatcher.handleStartAnswer(first!, startAnswer.started);
		recorded.dispatcher.handleStartAnswer(second!, startAnswer.started);
		recorded.dispatcher.setMinions([withCapacity(14_000)]);
		recorded.report('m', [[second!.task, second!.number]], [[first!.task, first!.number, 'done']]);
		expect(recorded.starts).toHaveLength(2);
		recorded.report('m', [], [[second!.task, second!.number, 'done']]);
		expect(recorded.starts).toHaveLength(3);
	});

	test('counts starts that are on their way and stops that have not ended', () => {
		const recorded = createDispatcher();
		recorded.submit(longJob(1));
		recorded.submit(longJob(2));
		recorded.submit(longJob(3));
		const [stopping, starting] = recorded.starts;
		recorded.dispatcher.handleStartAnswer(stopping!, startAnswer.started);
		recorded.dispatcher.cancel(jobId(1));
		recorded.dispatcher.setMinions([withCapacity(28_000)]);
		recorded.dispatcher.markStopConfirmed(stopping!);
		expect(recorded.starts).toHaveLength(2);
		recorded.dispatcher.handleStartAnswer(starting!, startAnswer.started);
		expect(recorded.starts).toHaveLength(2);
		recorded.advance(10);
		recorded.report('m', [[starting!.task, starting!.number]], [[stopping!.task, stopping!.number, 'interrupted']]);
		expect(recorded.starts).toHaveLength(3);
	});

	test('to nothing admits no run until it has grown again', () => {
		const recorded = createDispatcher();
		recorded.dispatcher.setMinions([withCapacity(0), minionRecord('other', {labels: ['b']})]);
		recorded.report('other');
		recorded.dispatcher.markUnreachable(recorded.minion('other'));
		recorded.submit(longJob(1));
		recorded.report('m');
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.setMinions([withCapacity(14_000)]);
		expect(recorded.starts).toHaveLength(1);
	});

	test('with a restart of the minion is known before the new incarnation gets a run', () => {
		const recorded = createDispatcher();
		recorded.dispatcher.recordIncarnation(recorded.minion('m'), 2);
		recorded.report('m');
		recorded.submit(longJob(1, 2));
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.setMinions([withCapacity(14_000, 2)]);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
	});

	test('below the size of a task on every minion refuses its job at once', () => {
		const recorded = createDispatcher();
		recorded.advance(1000);
		recorded.dispatcher.setMinions([withCapacity(13_000)]);
		expect(recorded.submit(longJob(1))).toMatchObject([{kind: outcomeKind.refused}]);
	});

	test('below the size of a waiting task on every minion refuses its job at the next tick', () => {
		const recorded = createDispatcher();
		recorded.advance(1000);
		recorded.submit(longJob(1, 2));
		const outcomes = recorded.submit(longJob(2));
		expect(outcomes).toEqual([]);
		recorded.dispatcher.setMinions([withCapacity(13_000)]);
		recorded.dispatcher.tick();
		expect(outcomes).toMatchObject([{kind: outcomeKind.refused}]);
	});
});
