/** Checks what callers send. Every message names the field and says how to mend it. */
import {
	Failure, failureCode, isValidKey, maxKeyLength, maxTasksPerJob, type Job,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

const longestNameLength = 100;
const longestDeclaredMs = 3_600_000;

const name = z.string().min(1).max(longestNameLength);

const task = z.strictObject({
	payload: z.unknown(),
	declaredMs: z.number().positive().max(longestDeclaredMs).optional(),
	cores: z.number().positive().optional(),
	memoryMb: z.number().positive().optional(),
	accelerators: z.number().int().nonnegative().optional(),
});

const job = z.strictObject({
	key: z.string().refine(isValidKey, `use 1 to ${maxKeyLength} letters, digits or any of . _ : ~ -`),
	team: name,
	upstream: name,
	isIdempotent: z.boolean('say true or false'),
	deadline: z.number('give milliseconds since the Unix epoch').int().positive(),
	createdAt: z.number('give milliseconds since the Unix epoch').int().positive().optional(),
	tasks: z.array(task).min(1, 'give at least one task').max(maxTasksPerJob, `split the job: at most ${maxTasksPerJob} tasks are allowed`),
});

const formatIssue = (issue: z.core.$ZodIssue): string => {
	const field = issue.path.length === 0 ? 'the body' : issue.path.map(String).join('.');
	return `${field}: ${issue.message}`;
};

const badRequest = (message: string, peer: string): Failure =>
	new Failure(failureCode.badRequest, message, {step: 'check-job', peer});

/** A job from the text of a request body, or a failure that lists every bad field. */
export const parseJob = (text: string, peer: string): Result<Job, Failure> => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return Err(badRequest(`the body: not JSON (${reason}); send one job as a JSON object`, peer));
	}

	const parsed = job.safeParse(value);
	if (!parsed.success) {
		return Err(badRequest(parsed.error.issues.map(issue => formatIssue(issue)).join('; '), peer));
	}

	return Ok(parsed.data);
};
