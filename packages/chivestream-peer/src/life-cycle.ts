/** The life cycle of an entry host: joining, serving, draining, left. */
import {
	createMachine, interpret, state, transition,
} from 'robot3';
import {hostPhase, type HostPhase} from './handlers.js';

const machine = createMachine({
	[hostPhase.joining]: state(
		transition(hostPhase.serving, hostPhase.serving),
		transition(hostPhase.draining, hostPhase.draining),
		transition(hostPhase.left, hostPhase.left),
	),
	[hostPhase.serving]: state(
		transition(hostPhase.draining, hostPhase.draining),
		transition(hostPhase.left, hostPhase.left),
	),
	[hostPhase.draining]: state(transition(hostPhase.left, hostPhase.left)),
	[hostPhase.left]: state(),
});

/** A host's phase, which only moves forward. */
export type LifeCycle = {
	phase: () => HostPhase;
	/** Number of changes so far. */
	revision: () => number;
	/** Moves to a later phase; false where that is not allowed. */
	advance: (phase: HostPhase) => boolean;
};

/** Creates the life cycle of a host that joins. */
export const createLifeCycle = (): LifeCycle => {
	let revision = 0;
	const service = interpret(machine, () => {
		revision += 1;
	});

	const currentPhase = (): HostPhase =>
		Object.values(hostPhase).find(phase => phase === service.machine.current) ?? hostPhase.left;

	return {
		phase: currentPhase,
		revision: () => revision,
		advance(phase) {
			const previous = currentPhase();
			if (phase !== hostPhase.joining) {
				service.send(phase);
			}

			return currentPhase() !== previous;
		},
	};
};
