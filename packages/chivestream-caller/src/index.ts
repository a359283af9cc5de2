/** Package `chivestream-caller`. */

/** Name of this package. */
export const packageName = 'chivestream-caller';
