/** The operators' bearer token. */
import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

const digest = (text: string): Uint8Array => createHash('sha256').update(text).digest();

/** Whether an `authorization` header carries the token; takes the same time for every wrong one. */
export const isAuthorized = (header: string | undefined, token: string): boolean => {
	const given = header?.startsWith(scheme) ? header.slice(scheme.length) : '';
	return timingSafeEqual(digest(given), digest(token)) && given !== '';
};
