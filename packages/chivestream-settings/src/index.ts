/** Package `chivestream-settings`. */

/** Name of this package. */
export const packageName = 'chivestream-settings';
