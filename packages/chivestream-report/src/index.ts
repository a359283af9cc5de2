/** Package `chivestream-report`. */

/** Name of this package. */
export const packageName = 'chivestream-report';
