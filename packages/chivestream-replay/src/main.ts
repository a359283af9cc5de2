/** The program `chivestream-replay`. */
import {packageName} from './index.js';

console.log(packageName);
