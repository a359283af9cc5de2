import {afterEach, expect, test} from '@jest/globals';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';
import {cellName} from '../cells.js';
import {type JobMessage, type PeerReply} from '../messages.js';
import {openStream} from '../peer-service.js';

const id = '0000000000000001';

let site: TestSite | undefined;
let closeStream: (() => void) | undefined;

afterEach(async () => {
	closeStream?.();
	await site?.close();
});

/** Opens a stream to the dispatcher as another host of its zone, and returns its claim and a function that submits the job to a claim. */
const attach = async ({hosts}: TestSite) => {
	const {host: {name, zone, cpuShare}, listen} = hosts[0]!.settings;
	const replies: PeerReply[] = [];
	const {stream, close} = openStream(listen.peers);
	closeStream = close;
	stream.on('error', () => {
		// Closed by the test.
	});
	stream.on('data', (reply: PeerReply) => {
		replies.push(reply);
	});
	stream.write({
		type: 'hello',
		host: {
			name: `${name}-other`, zone, address: '127.0.0.1:1', bornAt: 1, cpuShare: cpuShare / 2,
		},
		status: {
			claims: [], cellCount: 1, isLeaving: false, declarationsVersion: 1, nextInMs: 1000,
		},
	});
	await until(() => replies.some(({type}) => type === 'hello'));
	const hello = replies.find(reply => reply.type === 'hello');
	const submit = async (claim: number): Promise<PeerReply | undefined> => {
		replies.length = 0;
		const job: JobMessage = {
			id,
			cell: cellName(zone, 0, 1),
			claim,
			payload: 'x',
			steps: [{
				count: 1, millicores: 14_000, memoryMb: 64, accelerators: 0, estimateMs: 5, dependsOn: [],
			}],
			route: 'r0',
			upstream: 'desk',
			priority: 0,
			maxAttempts: 3,
			objectiveInMs: 5000,
			deadlineInMs: 5000,
			submission: 1,
			mayHaveRun: false,
		};
		stream.write({type: 'submit', job});
		await until(() => replies.some(({type}) => type === 'settled'));
		return replies.find(({type}) => type === 'settled');
	};

	return {claim: hello?.status.claims[0]?.token ?? 0, submit};
};

// After a pause, a dispatcher read submissions to its earlier claim, whose jobs another dispatcher was running by then.
test('a job that was submitted to an earlier claim of the dispatcher is released, and none of its tasks starts', async () => {
	site = await startSite(1, 2);
	await site.untilReady();
	site.checker.recordJob(id, 14_000);
	const {claim, submit} = await attach(site);
	expect(await submit(claim - 1)).toMatchObject({id, submission: 1, outcome: {kind: 'released'}});
	expect(site.checker.starts).toBe(0);
	expect(await submit(claim)).toMatchObject({id, submission: 1, outcome: {kind: 'completed'}});
});
