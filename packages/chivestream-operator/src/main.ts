/** The program `chivestream-operator`. */
import {packageName} from './index.js';

console.log(packageName);
