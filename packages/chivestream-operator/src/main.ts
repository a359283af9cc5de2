/** The program `chivestream`. */
import {tableNames} from './index.js';

console.log(`Tables: ${tableNames.join(', ')}`);
