/** Communication between entry hosts: the gRPC service, its clients and the membership. */
export * from './client.js';
export * from './clients.js';
export * from './handlers.js';
export {
	isLive, memberState, type Member, type MemberState,
} from './member.js';
export * from './membership.js';
export type * from './membership-options.js';
export * from './peer-failure.js';
export {chooseRepresentatives} from './representatives.js';
export * from './service.js';
export * from './timing.js';
export type {HeartbeatMessage} from './generated/peer.js';
