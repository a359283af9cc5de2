/** Creates followers with short waits for tests. */
import {type Configuration, createRandom, systemClock} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Follower, type FollowerOptions} from '../follower.js';

const testTimeoutMs = 10_000;

/** A deadline 10 s from now, which no passing test reaches. */
export const testDeadline = (): number => Date.now() + testTimeoutMs;

/** Starts a follower in a zone of three hosts; `seen` lists the versions that came into force. */
export const startFollower = (stream: Stream, options: Partial<FollowerOptions> = {}) => {
	const seen: Configuration[] = [];
	const follower = new Follower({
		stream,
		clock: systemClock,
		random: createRandom(1),
		zone: 'a',
		zoneSize: () => 3,
		fetchFromPeers: async () => [],
		onChange(configuration) {
			seen.push(configuration);
		},
		pollMs: 50,
		...options,
	});
	follower.start();
	const submit = {
		stream, follower, clock: systemClock, random: createRandom(2),
	};
	return {follower, seen, submit};
};

/** Creates `follow`, which starts a follower, and `stopAll`, which stops all started ones at the end of a test. */
export const createFollowers = () => {
	const followers: Follower[] = [];
	const follow: typeof startFollower = (stream, options) => {
		const started = startFollower(stream, options);
		followers.push(started.follower);
		return started;
	};

	const stopAll = () => {
		for (const follower of followers.splice(0)) {
			follower.stop();
		}
	};

	return {follow, stopAll};
};
