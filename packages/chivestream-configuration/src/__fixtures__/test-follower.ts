/** Followers with short waits, for tests. */
import {type Configuration, createRandom, systemClock} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Follower, type FollowerOptions} from '../follower.js';

const patienceMs = 10_000;

/** A deadline that no passing test reaches. */
export const soon = (): number => Date.now() + patienceMs;

/** Starts a follower of a zone of three hosts; `seen` lists what came into force. */
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

/** Starts followers and stops all of them at the end of a test. */
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
