/** The program `chivestream-entry`. */
import {packageName} from './index.js';

console.log(packageName);
