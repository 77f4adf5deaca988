import {Buffer} from 'node:buffer';
import {toBrand} from '@samphiremill/common';
import {
	createIncarnationId, maximumGangTasks, type LedgerCommand, type RunAssignment, type RunEnd, type TaskId,
} from '@samphiremill/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {maximumCommandBytes} from './command-batcher.js';
import {splitAssignments, splitEnds} from './command-parts.js';

// The longest names and numbers that are taken from minions and callers.
const life = createIncarnationId(toBrand('\u2603'.repeat(256)), Number.MAX_SAFE_INTEGER);
const createAssignment = (step: number, index: number): RunAssignment => ({task: toBrand<TaskId>(`ffffffffffffffff.99999.${step}.${index}`), run: Number.MAX_SAFE_INTEGER, life});
const getStepName = ({task}: RunAssignment) => task.slice(0, task.lastIndexOf('.'));

const measure = (command: LedgerCommand) => Buffer.byteLength(JSON.stringify(command));

// Guards against a command that fits into no entry of the log, and is proposed again and again (LOST).
test('the assignments of any plan fit into entries of the log, with each gang in one command', () => {
	const steps = fc.array(fc.record({count: fc.integer({min: 1, max: 3 * maximumGangTasks}), isGang: fc.boolean()}), {maxLength: 8});
	fc.assert(fc.property(steps, drawn => {
		const runs = drawn.flatMap(({count, isGang}, step) => Array.from({length: isGang ? Math.min(count, maximumGangTasks) : count}, (_, index) => createAssignment(step, index)));
		const getGang = (assignment: RunAssignment) => drawn[Number(getStepName(assignment).split('.')[2])]?.isGang === true ? getStepName(assignment) : undefined;
		const parts = splitAssignments(runs, getGang);
		const gangs = parts.flatMap(part => [...new Set(part.flatMap(assignment => getGang(assignment) ?? []))]);
		expect(new Set(parts.flat())).toEqual(new Set(runs));
		expect(parts.flat().length).toBe(runs.length);
		expect(new Set(gangs).size).toBe(gangs.length);
		expect(Math.max(...parts.map(part => measure({
			type: 'runs/assigned', term: Number.MAX_SAFE_INTEGER, runs: part, keepsLimits: true,
		})))).toBeLessThan(maximumCommandBytes);
	}), {numRuns: 30});
});

test('the ends of any listing fit into entries of the log, whatever the runs have saved', () => {
	const lengths = fc.array(fc.integer({min: 0, max: 16_384}), {minLength: 1, maxLength: 500});
	fc.assert(fc.property(lengths, fc.constantFrom('x', '\u0001', '\u2603'), (drawn, character) => {
		const ends = drawn.map((length, index): RunEnd => ({...createAssignment(0, index), ending: 'gangIncomplete', checkpoint: character.repeat(length)}));
		const parts = splitEnds(ends);
		expect(parts.flat()).toEqual(ends);
		expect(Math.max(...parts.map(part => measure({
			type: 'runs/ended', term: Number.MAX_SAFE_INTEGER, ends: part, atMs: 0,
		})))).toBeLessThan(maximumCommandBytes);
	}), {numRuns: 30});
});
