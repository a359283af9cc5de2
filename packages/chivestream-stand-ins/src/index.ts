/** Package `chivestream-stand-ins`. */

/** Name of this package. */
export const packageName = 'chivestream-stand-ins';
