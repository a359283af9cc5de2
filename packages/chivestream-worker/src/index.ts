/** Package `chivestream-worker`. */

/** Name of this package. */
export const packageName = 'chivestream-worker';
