/** Validates the jobs that callers send. Every message names the field and states what it must contain. */
import {
	Failure, failureCode, isValidKey, maxKeyLength, maxTasksPerJob, type Job,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

const maxNameLength = 100;
const maxDeclaredMs = 3_600_000;

const nameSchema = z.string().min(1).max(maxNameLength);

const taskSchema = z.strictObject({
	payload: z.unknown(),
	declaredMs: z.number().positive().max(maxDeclaredMs).optional(),
	cores: z.number().positive().optional(),
	memoryMb: z.number().positive().optional(),
	accelerators: z.number().int().nonnegative().optional(),
});

const jobSchema = z.strictObject({
	key: z.string().refine(isValidKey, `use 1 to ${maxKeyLength} letters, digits or any of . _ : ~ -`),
	team: nameSchema,
	upstream: nameSchema,
	isIdempotent: z.boolean('give true or false'),
	deadline: z.number('give milliseconds since the Unix epoch').int().positive(),
	createdAt: z.number('give milliseconds since the Unix epoch').int().positive().optional(),
	tasks: z.array(taskSchema).min(1, 'give at least one task').max(maxTasksPerJob, `split the job: at most ${maxTasksPerJob} tasks are allowed`),
});

const formatIssue = (issue: z.core.$ZodIssue): string => {
	const field = issue.path.length === 0 ? 'the body' : issue.path.map(String).join('.');
	return `${field}: ${issue.message}`;
};

const badRequest = (message: string, peer: string): Failure =>
	new Failure(failureCode.badRequest, message, {step: 'check-job', peer});

/** Parses and validates the text of a request body. The failure lists every invalid field and names `peer` as the sender. */
export const parseJob = (text: string, peer: string): Result<Job, Failure> => {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return Err(badRequest(`the body: not JSON (${reason}); send one job as a JSON object`, peer));
	}

	const parsed = jobSchema.safeParse(value);
	if (!parsed.success) {
		return Err(badRequest(parsed.error.issues.map(issue => formatIssue(issue)).join('; '), peer));
	}

	return Ok(parsed.data);
};
