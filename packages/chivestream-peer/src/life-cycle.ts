/** State machine of the phases of an entry host: joining, serving, draining, left. */
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

/** The phase of a host, which only moves forward. */
export type LifeCycle = {
	phase: () => HostPhase;
	/** Number of phase changes so far. */
	revision: () => number;
	/** Moves to a later phase. Returns false if the phase did not change because the transition is not allowed. */
	advance: (phase: HostPhase) => boolean;
};

/** Creates the life cycle of a host that has just started and is in phase `joining`. */
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
