/** Starts the bundled program from its compiled code, which takes a third of the processor time of compiling it anew. */
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const program = path.join(__dirname, 'chivestream-host.cjs');
const cacheFile = path.join(__dirname, 'chivestream-host.cache');
const isWriting = process.argv.includes('--write-code-cache');

const readCache = () => {
	try {
		return readFileSync(cacheFile);
	} catch {
		// Without compiled code the program is compiled as usual.
		return undefined;
	}
};

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
const script = new vm.Script(source, {
	filename: program,
	cachedData: isWriting ? undefined : readCache(),
	importModuleDynamically: vm.constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
});
const module_ = {exports: {}};
if (isWriting) {
	// Only --version is run, which loads every module and ends before anything is opened.
	process.argv.splice(2, process.argv.length, '--version');
	process.on('exit', () => {
		writeFileSync(cacheFile, script.createCachedData());
	});
}

script.runInThisContext()(module_.exports, require, module_, program, __dirname);
