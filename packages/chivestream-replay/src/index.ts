/** Package `chivestream-replay`. */

/** Name of this package. */
export const packageName = 'chivestream-replay';
