// Lets the event loop run after each test. Without it, model tests that are synchronous follow each other for more than a minute on
// a busy machine; the worker then misses the answers of the test runner, which ends the run as failed.
import {setImmediate} from 'node:timers/promises';
import {afterEach} from 'vitest';

afterEach(async () => {
	await setImmediate();
});
