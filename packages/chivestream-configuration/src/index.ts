/** Package `chivestream-configuration`. */

/** Name of this package. */
export const packageName = 'chivestream-configuration';
