/** Counts messages by what they are for. */

/** Numbers of messages. */
export type MessageCounts = {
	/** Tasks that started, and their answers. */
	tasks: number;
	/** Jobs and their answers. */
	jobs: number;
	/** Tasks that a minion refused, and the refusals. */
	refusals: number;
	/** Requests for slots, grants, extensions and returns. */
	lending: number;
	/** Heartbeats between entry hosts and their replies. */
	heartbeats: number;
	/** Cancellations by callers, and their answers. */
	cancellations: number;
	/** Submissions that a caller had to send again, and refused jobs. */
	resubmissions: number;
};

/** Nothing counted yet. */
export const createMessageCounts = (): MessageCounts => ({
	tasks: 0, jobs: 0, refusals: 0, lending: 0, heartbeats: 0, cancellations: 0, resubmissions: 0,
});

/** All messages but the request and answer of each task and job. */
export const wastedMessages = ({refusals, lending, heartbeats, resubmissions}: MessageCounts): number =>
	refusals + lending + heartbeats + resubmissions;
