/** Loaded into a host process: blocks its thread for the time that a message names, while its sockets go on receiving. */
import process from 'node:process';

const flag = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

process.on('message', ({pauseMs}) => {
	Atomics.wait(flag, 0, 0, pauseMs);
});
