/** Package `chivestream-operator`. */

/** Name of this package. */
export const packageName = 'chivestream-operator';
