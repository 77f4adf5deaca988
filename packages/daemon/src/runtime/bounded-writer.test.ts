import {Buffer} from 'node:buffer';
import {createVirtualTimerService} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {createBoundedWriter} from './bounded-writer.js';

const flushMicrotasks = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

test('a reader that stops reading neither blocks the writer nor lets its buffer grow past the limit', async () => {
	const timers = createVirtualTimerService();
	const written: string[] = [];
	let release: () => void = () => undefined;
	const writer = createBoundedWriter({
		timers,
		limits: {maximumLinesPerSecond: 1000, maximumBufferedBytes: 100},
		async writeText(text) {
			written.push(text);
			await new Promise<void>(resolve => {
				release = resolve;
			});
		},
	});
	writer.writeLine('first');
	timers.advance(50);
	for (let index = 0; index < 50; index += 1) {
		writer.writeLine(`line ${index} of many`);
	}

	timers.advance(1000);
	expect(written).toEqual(['first\n']);
	expect(writer.getDroppedLines()).toBe(44);
	release();
	await flushMicrotasks();
	release();
	await flushMicrotasks();
	expect(written[1]).toMatchInlineSnapshot(`
		"line 0 of many
		line 1 of many
		line 2 of many
		line 3 of many
		line 4 of many
		line 5 of many
		{"level":"warn","message":"44 log lines were left out","droppedLines":44}
		"
	`);
});

test('a backlog is written in chunks of complete lines, at most as long as a pipe writes atomically', async () => {
	const timers = createVirtualTimerService();
	const written: string[] = [];
	const writer = createBoundedWriter({
		timers,
		limits: {maximumLinesPerSecond: 1000, maximumBufferedBytes: 100_000},
		async writeText(text) {
			written.push(text);
		},
	});
	const lines = [...Array.from({length: 60}, (_, index) => `line ${index} ${'x'.repeat(200)}`), 'y'.repeat(5000), 'ü'.repeat(1500), 'last'];
	for (const line of lines) {
		writer.writeLine(line);
	}

	await writer.flush();
	expect(written.join('')).toBe(`${lines.join('\n')}\n`);
	expect(written.every(text => text.endsWith('\n'))).toBe(true);
	expect(written.map(text => Buffer.byteLength(text)).filter(length => length > 4096)).toEqual([5001]);
});

test('lines beyond the budget of one second are dropped and counted', async () => {
	const timers = createVirtualTimerService();
	const written: string[] = [];
	const writer = createBoundedWriter({
		timers,
		limits: {maximumLinesPerSecond: 2, maximumBufferedBytes: 10_000},
		async writeText(text) {
			written.push(text);
		},
	});
	for (let index = 0; index < 5; index += 1) {
		writer.writeLine(`line ${index}`);
	}

	timers.advance(1100);
	await writer.flush();
	writer.writeLine('next second');
	await writer.flush();
	expect(written.join('')).toMatchInlineSnapshot(`
		"line 0
		line 1
		{"level":"warn","message":"3 log lines were left out","droppedLines":3}
		next second
		"
	`);
});
