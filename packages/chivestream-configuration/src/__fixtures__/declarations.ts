/** Declarations and commands for tests. */
import {type Declarations} from 'chivestream-core';
import {type Change, type Command} from '../command.js';
import {declarationsSchema} from '../declarations-schema.js';

/** Two minions, one worker and two teams. */
export const sampleDeclarations: Declarations = declarationsSchema.parse({
	upstreams: {
		lens: {
			minions: [
				{
					id: 'm1', zone: 'a', address: '127.0.0.1:4001', slots: 8, connections: 64,
				},
				{
					id: 'm2', zone: 'b', address: '127.0.0.1:4002', slots: 8, connections: 64,
				},
			],
			workers: [{
				id: 'w1', zone: 'a', rack: 'a1', address: '127.0.0.1:5001', cores: 32, memoryMb: 65_536,
			}],
		},
	},
	teams: {'day-a': {maxTasksInFlight: 100}, 'day-b': {weight: 2, maxTasksInFlight: 50}},
	objectives: [{
		name: 'reading', upstream: 'lens', team: 'day-a', targetMs: 500, goal: 0.99,
	}],
});

/** Creates a command as an operator would submit it. */
export const createCommand = (commandId: string, baseVersion: number, change: Change, author = 'owner'): Command => ({
	kind: 'command', commandId, baseVersion, author, change,
});

/** The command that replaces the empty declarations of version 0 by the sample. */
export const sampleCommand = createCommand('c0', 0, {kind: 'replace', declarations: sampleDeclarations});
