/** Verification of the operators' bearer token. */
import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

const digest = (text: string): Uint8Array => createHash('sha256').update(text).digest();

/**
Returns whether an `authorization` header contains the token. The comparison takes the same time for every wrong token, so that
response times reveal nothing about the right one.
*/
export const isAuthorized = (header: string | undefined, token: string): boolean => {
	const given = header?.startsWith(scheme) ? header.slice(scheme.length) : '';
	return timingSafeEqual(digest(given), digest(token)) && given !== '';
};
