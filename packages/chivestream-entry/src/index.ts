/** Package `chivestream-entry`. */

/** Name of this package. */
export const packageName = 'chivestream-entry';
