/** Package `chivestream-minion`. */

/** Name of this package. */
export const packageName = 'chivestream-minion';
