/** Leases on a worker's share, judged by the worker's own clock. */
import {z} from 'zod';

/** What a worker has, or a lease takes of it. */
export type Capacity = {
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/** Body of a request for a lease. */
export const leaseRequestSchema = z.strictObject({
	holder: z.string(),
	cores: z.number().min(0),
	memoryMb: z.number().min(0),
	accelerators: z.number().min(0),
	deadline: z.number(),
});

/** Body of a request to renew a lease. */
export const renewalSchema = z.strictObject({
	holder: z.string(),
	fence: z.int(),
	deadline: z.number(),
});

/** A lease as the worker answers with it. */
export type GrantedLease = {
	leaseId: string;
	fence: number;
	deadline: number;
};

type Lease = GrantedLease & z.infer<typeof leaseRequestSchema>;

/** The leases of one worker. A result of undefined stands for a refusal. */
export type LeaseTable = {
	grant: (request: z.infer<typeof leaseRequestSchema>) => GrantedLease | undefined;
	renew: (leaseId: string, renewal: z.infer<typeof renewalSchema>) => GrantedLease | undefined;
	release: (leaseId: string) => void;
	/** Whether tasks may start under the lease. */
	isValid: (leaseId: string, fence: number) => boolean;
	/** Leases that have not lapsed. */
	live: () => Lease[];
};

/** A table without leases. */
export const createLeaseTable = (capacity: Capacity, now: () => number, longestLeaseMs: number): LeaseTable => {
	const leases = new Map<string, Lease>();
	let lastFence = 0;

	const live = (): Lease[] => {
		for (const [leaseId, lease] of leases) {
			if (lease.deadline <= now()) {
				leases.delete(leaseId);
			}
		}

		return [...leases.values()];
	};

	const fits = (request: Capacity): boolean => {
		const taken = live();
		return (['cores', 'memoryMb', 'accelerators'] as const).every(field => {
			const sum = taken.reduce((total, lease) => total + lease[field], 0);
			return sum + request[field] <= capacity[field];
		});
	};

	const limitDeadline = (deadline: number): number => Math.min(deadline, now() + longestLeaseMs);

	const toGranted = ({leaseId, fence, deadline}: Lease): GrantedLease => ({leaseId, fence, deadline});

	return {
		grant(request) {
			if (request.deadline <= now() || !fits(request)) {
				return undefined;
			}

			lastFence++;
			const lease = {
				...request, leaseId: `lease-${lastFence}`, fence: lastFence, deadline: limitDeadline(request.deadline),
			};
			leases.set(lease.leaseId, lease);
			return toGranted(lease);
		},
		renew(leaseId, {holder, fence, deadline}) {
			const lease = live().find(candidate => candidate.leaseId === leaseId);
			if (lease?.holder !== holder || lease.fence !== fence) {
				return undefined;
			}

			lease.deadline = limitDeadline(deadline);
			return toGranted(lease);
		},
		release(leaseId) {
			leases.delete(leaseId);
		},
		isValid: (leaseId, fence) => live().some(lease => lease.leaseId === leaseId && lease.fence === fence),
		live,
	};
};
