/** Runs tasks for the minion and worker stand-ins, with start counts and faults. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {createRandom} from 'chivestream-core';
import {startTask, type RunningTask, type TaskEnd} from './running-task.js';
import {headerValue, sendJson, type RoutedRequest} from './service.js';
import {createStartCounts, type StartCounts} from './start-counts.js';
import {createFaultSwitch, taskFault, type FaultSwitch} from './task-faults.js';

/** Header that names an attempt and is echoed with its answer. */
export const attemptHeader = 'chivestream-attempt';

const declaredHeader = 'chivestream-declared-ms';

/** How an upstream host runs tasks. */
export type TaskRunnerOptions = {
	/** Name of the upstream host, given with each result. */
	id: string;
	/** Run times are divided by it. */
	speed: number;
	seed: number;
};

/** A request for a task, read and ready to be admitted. */
export type TaskRequest = {
	request: RoutedRequest;
	response: ServerResponse;
	payload: unknown;
};

/** Runs tasks and counts their starts. */
export type TaskRunner = {
	counts: StartCounts;
	faults: FaultSwitch;
	/** The running task of an attempt. */
	findTask: (attempt: string) => RunningTask | undefined;
	/** Starts the task unless a fault prevents it; `slowdown` multiplies its run time. */
	run: (task: TaskRequest, slowdown: number) => void;
	/** Refuses the task before it starts. */
	refuse: (response: ServerResponse, status: number, reason: string) => void;
	/** Ends every task. */
	close: () => void;
};

type Reply = {
	attempt: string;
	status: number;
	body: unknown;
};

/** Run time in milliseconds that a task really takes: what its payload says, or else what was declared. */
const trueRunMs = ({request, payload}: TaskRequest): number => {
	if (typeof payload === 'object' && payload !== null && 'runMs' in payload) {
		return Number(payload.runMs);
	}

	return Number(headerValue(request, declaredHeader) ?? 0);
};

const sendDuplicate = (socket: Socket, {attempt, body}: Reply) => {
	const text = JSON.stringify(body);
	socket.write([
		'HTTP/1.1 200 OK',
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(text)}`,
		`${attemptHeader}: ${attempt}`,
		'',
		text,
	].join('\r\n'));
};

/** A runner without running tasks. */
export const createTaskRunner = ({id, speed, seed}: TaskRunnerOptions): TaskRunner => {
	const counts = createStartCounts();
	const faults = createFaultSwitch(createRandom(seed));
	const running = new Map<string, RunningTask>();
	let lastReply: Reply = {attempt: 'another/0/1', status: 200, body: {servedBy: id, payload: null}};

	const refuse = (response: ServerResponse, status: number, reason: string) => {
		counts.refusal();
		sendJson(response, status, {error: reason});
	};

	const send = (response: ServerResponse, reply: Reply) => {
		if (!response.destroyed) {
			sendJson(response, reply.status, reply.body, {[attemptHeader]: reply.attempt});
		}
	};

	const answer = ({response, request}: TaskRequest, reply: Reply, fault: string) => {
		if (fault === taskFault.crossed) {
			send(response, lastReply);
			return;
		}

		lastReply = reply;
		send(response, reply);
		if (fault === taskFault.duplicated) {
			sendDuplicate(request.socket, reply);
		}
	};

	const answerWhenDue = (task: TaskRequest, reply: Reply, fault: string) => {
		const {lateMs} = faults.current();
		if (lateMs > 0) {
			setTimeout(answer, lateMs, task, reply, fault);
			return;
		}

		answer(task, reply, fault);
	};

	const replyFor = (attempt: string, payload: unknown, end: TaskEnd, fault: string): Reply => {
		if (end === 'stopped' || fault === taskFault.fail) {
			return {attempt, status: 500, body: {error: end === 'stopped' ? 'stopped' : 'failed'}};
		}

		return {attempt, status: 200, body: {servedBy: id, payload}};
	};

	const effectiveRunMs = (task: TaskRequest, slowdown: number, fault: string): number => {
		if (fault === taskFault.hang) {
			return Number.POSITIVE_INFINITY;
		}

		if (fault === taskFault.fail) {
			return 0;
		}

		return trueRunMs(task) * slowdown * faults.current().slowFactor / speed;
	};

	const start = (task: TaskRequest, attempt: string, slowdown: number, fault: string) => {
		counts.start(attempt);
		const finish = (end: TaskEnd) => {
			running.delete(attempt);
			counts.end();
			answerWhenDue(task, replyFor(attempt, task.payload, end, fault), fault);
		};

		const runMs = effectiveRunMs(task, slowdown, fault);
		if (runMs === 0) {
			finish('completed');
			return;
		}

		running.set(attempt, startTask(attempt, runMs, finish));
		if (fault === taskFault.dropAfterStart) {
			task.request.socket.destroy();
		}
	};

	return {
		counts,
		faults,
		findTask: attempt => running.get(attempt),
		run(task, slowdown) {
			const attempt = headerValue(task.request, attemptHeader);
			if (attempt === undefined) {
				refuse(task.response, 400, `the header ${attemptHeader} is missing`);
				return;
			}

			const fault = faults.draw();
			if (fault === taskFault.refuse) {
				refuse(task.response, 503, 'refused by a fault');
				return;
			}

			if (fault === taskFault.dropBeforeStart) {
				counts.refusal();
				task.request.socket.destroy();
				return;
			}

			start(task, attempt, slowdown, fault);
		},
		refuse,
		close() {
			for (const task of running.values()) {
				task.stop();
			}
		},
	};
};
