/** The program `chivestream-report`. */
import {packageName} from './index.js';

console.log(packageName);
