import process from 'node:process';
import {createSeededRandom} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createTestWorld, type TestWorld} from './test-world.js';
import type {MinionPort} from './types.js';

const seed = Number(process.env.SAMPHIREMILL_SEED ?? 35);
const numberRuns = Number(process.env.SAMPHIREMILL_RUNS ?? 15);

const hourMs = 3_600_000;
const oddMinionAddress = '10.0.0.1:80';

type Call = keyof Omit<MinionPort, 'retain'>;
/** Returns what a call gives instead of its answer; may throw. */
type Disturb = (call: Call, answer: unknown) => unknown;

// Each call to the first minion is carried out, and its answer is then changed.
const disturbPort = (port: MinionPort, disturb: Disturb): MinionPort => {
	const wrap = <Order extends {readonly target: {readonly address: string}}, Answer>(call: Call, send: (order: Order) => Promise<Answer>) => async (order: Order): Promise<Answer> => {
		const answer = await send(order);
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the odd answers are what is tested
		return order.target.address === oddMinionAddress ? disturb(call, answer) as Answer : answer;
	};

	return {
		hold: wrap('hold', port.hold), start: wrap('start', port.start), stop: wrap('stop', port.stop), pace: wrap('pace', port.pace), retain: port.retain,
	};
};

const oddValues: readonly unknown[] = [
	undefined,
	null,
	'x',
	7,
	[],
	{},
	{running: []},
	{running: null, finished: []},
	{running: [null], finished: []},
	{running: [{task: 'a', run: 1e300}], finished: []},
	{
		running: [], finished: [{
			task: 'a.0.0.0', run: 1, number: Number.POSITIVE_INFINITY, ending: 'done', checkpoint: '',
		}],
	},
	{bornAtMs: 'x', running: [], finished: []},
	{type: 'refused', reason: 'constructor'},
	{type: 'refused'},
];
const oddClocks: readonly unknown[] = [undefined, null, '5', Number.NaN, Number.POSITIVE_INFINITY, 1e300, -1];
const anyOddAnswer: fc.Arbitrary<(answer: unknown) => unknown> = fc.oneof(
	fc.constant(() => {
		throw new TypeError('an unexpected state');
	}),
	fc.constantFrom(undefined, null, 'answered', 5, [], {}, {type: 'odd'}, {type: 'answered'}, {type: 'invalid'}).map(odd => () => odd),
	fc.constantFrom(...oddValues).map(value => () => ({type: 'answered', value, clockMs: 5})),
	fc.constantFrom(...oddClocks).map(clockMs => (answer: unknown) => typeof answer === 'object' && answer !== null && 'value' in answer ? {...answer, clockMs} : {type: 'answered', clockMs}),
);

test.each(['hold', 'start', 'stop', 'pace'] as const)('a minion whose %s calls end with an error for some seconds is used again afterwards', async failingCall => {
	let isFailing = false;
	const errors: string[] = [];
	const world = createTestWorld({
		seed: 35,
		minionCount: 1,
		alterPort: port => disturbPort(port, (call, answer) => {
			if (isFailing && call === failingCall) {
				throw new TypeError('Invalid URL');
			}

			return answer;
		}),
		log: {
			debug: () => undefined,
			info: () => undefined,
			warn: () => undefined,
			error(message) {
				errors.push(message);
			},
		},
	});
	await world.advance(1000);
	isFailing = true;
	const first = world.submit([{count: 2, estimateMs: 500}]);
	await world.advance(1000);
	world.cancel(first.id).catch(() => undefined);
	await world.advance(3000);
	isFailing = false;
	const {id} = world.submit([{count: 2, estimateMs: 500}]);
	await world.advance(12_000);
	expect(world.getState(id)).toBe('completed');
	expect(world.listViolations()).toEqual([]);
	expect(errors.length).toBeLessThan(10);
});

test('odd answers of one minion end no session, break no rule, and keep no other minion from work', async () => {
	await fc.assert(fc.asyncProperty(fc.array(anyOddAnswer, {minLength: 1, maxLength: 6}), fc.integer({min: 1, max: 1000}), async (odd, worldSeed) => {
		const random = createSeededRandom(worldSeed);
		let isOdd = true;
		const world = createTestWorld({
			seed: worldSeed,
			minionCount: 3,
			alterPort: port => disturbPort(port, (_, answer) => isOdd && random() < 0.5 ? odd[Math.floor(random() * odd.length)]?.(answer) : answer),
		});
		await world.advance(1500);
		const early = world.submit([{count: 6, estimateMs: 500}, {count: 3, isLasting: true, dependsOn: [0]}]);
		await world.advance(5000);
		isOdd = false;
		await world.advance(15_000);
		const late = world.submit([{count: 6, estimateMs: 500}]);
		await world.advance(5000);
		expect(world.getState(late.id)).toBe('completed');
		expect(world.countRuns(early.id)).toBe(3);
		expect(world.listViolations()).toEqual([]);
	}), {seed, numRuns: numberRuns});
});

const createWorldWithOneOddAnswer = (alter: (answer: Readonly<Record<string, unknown>>) => unknown, oddCall: Call = 'hold') => {
	let isArmed = false;
	const world = createTestWorld({
		seed: 35,
		minionCount: 3,
		alterPort: port => disturbPort(port, (call, answer) => {
			if (!isArmed || call !== oddCall || typeof answer !== 'object' || answer === null || !('value' in answer)) {
				return answer;
			}

			isArmed = false;
			return alter({...answer});
		}),
	});
	return {
		world,
		arm() {
			isArmed = true;
		},
		isArmed: () => isArmed,
	};
};

const listUnknownEnd = (answer: Readonly<Record<string, unknown>>) => {
	const report = answer.value as {readonly finished: readonly unknown[]}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the value of an answer to a hold call
	return {
		...answer, value: {
			...report, finished: [...report.finished, {
				number: 40, task: 'x.0.0.0', run: 1, ending: 'done', checkpoint: '',
			}],
		},
	};
};

test('one listed end of an unknown run with a high number does not make completed tasks run again', async () => {
	const {world, arm} = createWorldWithOneOddAnswer(listUnknownEnd);
	await world.advance(2000);
	world.submit([{count: 6, isLasting: true}]);
	world.submit([{count: 4, estimateMs: 3000}]);
	await world.advance(1500);
	arm();
	await world.advance(4000);
	for (let count = 0; count < 6; count += 1) {
		world.submit([{count: 4, estimateMs: 400}]);
	}

	await world.advance(20_000);
	expect(world.listViolations()).toEqual([]);
});

test('one clock reading that is an hour ahead does not keep the tasks of a minion that dies from another', async () => {
	const {world, arm} = createWorldWithOneOddAnswer(answer => ({...answer, clockMs: Number(answer.clockMs) + hourMs}));
	await world.advance(2000);
	const {id} = world.submit([{count: 3, isLasting: true}]);
	await world.advance(2000);
	arm();
	await world.advance(8000);
	world.silence(0, 600_000);
	await world.advance(30_000);
	expect(world.countRuns(id)).toBe(3);
});

test('a first clock reading that is an hour ahead does not keep the tasks of a minion that dies from another for good', async () => {
	const {world, arm} = createWorldWithOneOddAnswer(answer => ({...answer, clockMs: Number(answer.clockMs) + hourMs}));
	arm();
	await world.advance(2000);
	const {id} = world.submit([{count: 3, isLasting: true}]);
	await world.advance(8000);
	world.silence(0, 600_000);
	await world.advance(45_000);
	expect(world.countRuns(id)).toBe(3);
	expect(world.listViolations()).toEqual([]);
});

test.each([0, 200, 400])('the tasks of a minion that is silent after one clock reading that is an hour ahead do not run twice (silent after %i ms)', async delayMs => {
	const {world, arm, isArmed} = createWorldWithOneOddAnswer(answer => ({...answer, clockMs: Number(answer.clockMs) + hourMs}));
	await world.advance(2000);
	world.submit([{count: 3, isLasting: true}]);
	await world.advance(2000);
	arm();
	for (let step = 0; step < 300 && isArmed(); step += 1) {
		await world.advance(5); // eslint-disable-line no-await-in-loop -- until the odd answer has come
	}

	await world.advance(delayMs);
	world.silence(0, 20_000);
	await world.advance(15_000);
	expect(world.listViolations()).toEqual([]);
});

const nameOtherStart = (answer: Readonly<Record<string, unknown>>) => {
	const report = answer.value as {readonly bornAtMs: number}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the value of an answer to a hold call
	return {...answer, value: {...report, bornAtMs: report.bornAtMs + 1000}};
};

test.each([
	['names another start', 'hold', nameOtherStart],
	['says that another minion is there, to a hold call', 'hold', () => ({type: 'otherLife'})],
	['says that another minion is there, to a start', 'start', () => ({type: 'otherLife'})],
] as const)('the tasks of a minion that once %s do not run twice', async (_, call, alter) => {
	const {world, arm, isArmed} = createWorldWithOneOddAnswer(alter, call);
	await world.advance(2000);
	world.submit([{count: 6, isLasting: true}]);
	await world.advance(2000);
	arm();
	await world.advance(1000);
	const {id} = world.submit([{count: 6, isLasting: true}]);
	await world.advance(12_000);
	expect(isArmed()).toBe(false);
	expect(world.listViolations()).toEqual([]);
	expect(world.countRuns(id)).toBe(6);
	expect(world.countStarts()).toBe(12);
});

test.each([
	['names another start', 'hold', nameOtherStart],
	['says that another minion is there, to a hold call', 'hold', () => ({type: 'otherLife'})],
	['says that another minion is there, to a start', 'start', () => ({type: 'otherLife'})],
] as const)('the tasks of a minion that once %s and is silent then run again, and not twice', async (_, call, alter) => {
	const {world, arm, isArmed} = createWorldWithOneOddAnswer(alter, call);
	await world.advance(2000);
	const first = world.submit([{count: 6, isLasting: true}]);
	await world.advance(2000);
	arm();
	const second = world.submit([{count: 6, isLasting: true}]);
	for (let step = 0; step < 300 && isArmed(); step += 1) {
		await world.advance(5); // eslint-disable-line no-await-in-loop -- until the odd answer has come
	}

	world.silence(0, 60_000);
	await world.advance(14_000);
	expect(world.listViolations()).toEqual([]);
	expect([world.countRuns(first.id), world.countRuns(second.id)]).toEqual([6, 6]);
});

test('a minion that answers that it follows a newer leader deposes none, and its tasks run elsewhere', async () => {
	let isFenced = false;
	let deposedCount = 0;
	const world = createTestWorld({
		seed: 35,
		minionCount: 3,
		alterPort: port => disturbPort(port, (call, answer) => {
			if (!isFenced || call === 'pace' || typeof answer !== 'object' || answer === null || !('value' in answer)) {
				return answer;
			}

			return {...answer, value: call === 'start' ? {type: 'refused', reason: 'fenced'} : 'fenced'};
		}),
		onFenced() {
			deposedCount += 1;
		},
	});
	await world.advance(2000);
	const early = world.submit([{count: 6, isLasting: true}]);
	await world.advance(2000);
	isFenced = true;
	const late = world.submit([{count: 6, estimateMs: 500}]);
	await world.advance(12_000);
	expect({deposedCount, state: world.getState(late.id), violations: world.listViolations()}).toEqual({deposedCount: 0, state: 'completed', violations: []});
	expect(world.countRuns(early.id)).toBe(6);
	isFenced = false;
	await world.advance(2000);
	const startsBefore = world.countStartsOn(0);
	world.submit([{count: 14, estimateMs: 500}]);
	await world.advance(4000);
	expect(world.countStartsOn(0)).toBeGreaterThan(startsBefore);
	expect({deposedCount, violations: world.listViolations()}).toEqual({deposedCount: 0, violations: []});
});

test.each(['hold', 'start', 'stop'] as const)('the tasks of a minion that once answers a %s call that it follows a newer leader do not run twice', async call => {
	const {world, arm, isArmed} = createWorldWithOneOddAnswer(answer => ({...answer, value: call === 'start' ? {type: 'refused', reason: 'fenced'} : 'fenced'}), call);
	await world.advance(2000);
	world.submit([{count: 6, isLasting: true}]);
	const cancelled = world.submit([{count: 6, isLasting: true}]);
	await world.advance(2000);
	arm();
	const {id} = world.submit([{count: 6, isLasting: true}]);
	world.cancel(cancelled.id).catch(() => undefined);
	await world.advance(12_000);
	expect({
		isArmed: isArmed(), runs: world.countRuns(id), cancelled: world.countRuns(cancelled.id), violations: world.listViolations(),
	}).toEqual({
		isArmed: false, runs: 6, cancelled: 0, violations: [],
	});
});

const falseAnswers: ReadonlyArray<readonly [Call, (answer: Readonly<Record<string, unknown>>) => unknown]> = [
	['hold', listUnknownEnd],
	['hold', nameOtherStart],
	['hold', () => ({type: 'otherLife'})],
	['start', () => ({type: 'otherLife'})],
	['hold', answer => ({...answer, value: 'fenced'})],
	['start', answer => ({...answer, value: {type: 'refused', reason: 'fenced'}})],
	['hold', answer => ({...answer, clockMs: Number(answer.clockMs) + hourMs})],
	['start', answer => ({...answer, clockMs: Number(answer.clockMs) + hourMs})],
	['hold', answer => ({...answer, clockMs: 5})],
	['start', answer => ({...answer, clockMs: 5})],
];

const happenings = {
	silence(world: TestWorld) {
		world.silence(0, 60_000);
	},
	shortSilence(world: TestWorld) {
		world.silence(0, 4000);
	},
	restart(world: TestWorld) {
		world.restart(0);
	},
	cut(world: TestWorld) {
		world.cutFromLeader(0, 5000);
	},
	crash(world: TestWorld) {
		world.crash(0);
	},
	nothing: () => undefined,
};

test('one false answer of a minion, and what may happen to it afterwards, break no rule', async () => {
	await fc.assert(fc.asyncProperty(fc.constantFrom(...falseAnswers), fc.record({
		seed: fc.integer({min: 1, max: 1000}),
		phaseMs: fc.integer({min: 0, max: 700}),
		silentAfterMs: fc.integer({min: 0, max: 1500}),
		after: fc.constantFrom<keyof typeof happenings>('silence', 'shortSilence', 'restart', 'cut', 'crash', 'nothing'),
	}), async ([call, alter], {seed: worldSeed, phaseMs, silentAfterMs, after}) => {
		let isArmed = false;
		const world = createTestWorld({
			seed: worldSeed,
			minionCount: 3,
			alterPort: port => disturbPort(port, (called, answer) => {
				if (!isArmed || called !== call || typeof answer !== 'object' || answer === null || !('value' in answer)) {
					return answer;
				}

				isArmed = false;
				return alter({...answer});
			}),
		});
		await world.advance(2000);
		const early = world.submit([{count: 6, isLasting: true}]);
		await world.advance(1000 + phaseMs);
		isArmed = true;
		const late = world.submit([{count: 4, estimateMs: 500}, {count: 3, isLasting: true, dependsOn: [0]}]);
		await world.advance(silentAfterMs);
		happenings[after](world);
		await world.advance(20_000);
		expect(world.listViolations()).toEqual([]);
		expect([world.countRuns(early.id), world.countRuns(late.id)]).toEqual([6, 3]);
	}), {seed, numRuns: numberRuns});
});
