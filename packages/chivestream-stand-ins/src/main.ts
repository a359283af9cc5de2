/** The program `chivestream-stand-ins`. */
import {packageName} from './index.js';

console.log(packageName);
