import process from 'node:process';
import type {JobId} from '@samphiremill/common';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	createTestWorld, startTestWorld, type OrderFault, type TestWorld,
} from './test-world.js';

const runs = Number(process.env.SAMPHIREMILL_RUNS ?? 12);
const historySeed = Number(process.env.SAMPHIREMILL_SEED ?? 20_261_205);

test('a long-running task starts on a minion that was in quarantine and holds another long-running task', async () => {
	const world = await startTestWorld({seed: 1, minionCount: 2});
	const held = world.submit([{count: 2, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(500);
	world.failAll(0, 300);
	// Each fails once on the first minion and is then done on the second.
	world.submit([{count: 1}]);
	world.submit([{count: 1}]);
	await world.advance(1000);
	const waiting = world.submit([{count: 2, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(16_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect([world.countRuns(held.id), world.countRuns(waiting.id)]).toEqual([2, 2]);
});

test('two long-running tasks start on a minion that was in quarantine', async () => {
	const world = await startTestWorld({seed: 2, minionCount: 1});
	world.failAll(0, 300);
	world.submit([{count: 1}]);
	world.submit([{count: 1}]);
	await world.advance(1000);
	const {id} = world.submit([{count: 2, isLasting: true}]);
	await world.advance(16_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(world.countRuns(id)).toBe(2);
});

test('a minion on which the runs of one moment failed takes a long-running task soon after', async () => {
	const world = await startTestWorld({seed: 3, minionCount: 2});
	world.failAll(0, 300);
	for (let index = 0; index < 6; index += 1) {
		world.submit([{count: 2, maximumPerMinion: 1}]);
	}

	await world.advance(600);
	const {id} = world.submit([{count: 2, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(14_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(world.countRuns(id)).toBe(2);
});

test.each([20_000, 60_000])('long-running tasks that fail by themselves now and then start again soon, without any fault (mean life %i ms)', async meanLifeMs => {
	const world = await startTestWorld({seed: 8, minionCount: 3, meanLifeMs});
	const submitted = [1, 2, 3].map(() => world.submit([{count: 3, isLasting: true, maximumPerMinion: 1}]));
	await world.advance(90_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(submitted.map(({id}) => world.getState(id))).toEqual(['active', 'active', 'active']);
});

test('a long-running task that one minion refuses starts on a minion with failures', async () => {
	const world = await startTestWorld({seed: 7, minionCount: 2});
	world.failAll(0, 300);
	world.disturbOrders(1, 'refused', 60_000);
	world.submit([{count: 1}]);
	world.submit([{count: 1}]);
	await world.advance(1000);
	const {id} = world.submit([{count: 1, isLasting: true}]);
	await world.advance(6000);
	expect(world.countRuns(id)).toBe(1);
});

test('jobs that end are done beside a long-running task that keeps failing', async () => {
	const world = await startTestWorld({seed: 5, minionCount: 1, meanLifeMs: 600});
	world.failAll(0, 300);
	for (let index = 0; index < 4; index += 1) {
		world.submit([{count: 2}]);
	}

	world.submit([{count: 1, isLasting: true}]);
	await world.advance(5000);
	const {id} = world.submit([{count: 1}]);
	await world.advance(9000);
	expect(world.getState(id)).toBe('completed');
});

test('long-running tasks that fail after they have served do not quarantine their minion', async () => {
	const quarantines: string[] = [];
	const world = await startTestWorld({
		seed: 9,
		minionCount: 1,
		meanLifeMs: 40_000,
		log: {
			debug: () => undefined,
			info: () => undefined,
			error: () => undefined,
			warn(message) {
				if (message.includes('fails repeatedly')) {
					quarantines.push(message);
				}
			},
		},
	});
	const jobs = [1, 2, 3, 4].map(() => world.submit([{count: 1, isLasting: true}]));
	await world.advance(120_000);
	expect(quarantines).toEqual([]);
	expect(world.countStarts()).toBeGreaterThan(jobs.length + 4);
});

test.each(['refused', 'noRoom', 'unhealthy'] as const)('a long-running task whose start was refused (%s) starts again, also if the refusal could not be committed', async kind => {
	const world = await startTestWorld({seed: 4, minionCount: 1});
	world.disturbOrders(0, kind, 300);
	world.dropCommands(['runs/ended'], 400);
	const {id} = world.submit([{count: 1, isLasting: true}]);
	await world.advance(14_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(world.countRuns(id)).toBe(1);
});

test('a minion takes a long-running task also if the outcome of its joining was unknown', async () => {
	const world = await startTestWorld({seed: 5, minionCount: 2});
	const {id} = world.submit([{count: 2, isLasting: true, maximumPerMinion: 1}]);
	await world.advance(500);
	world.loseOutcome('minion/joined');
	world.restart(1);
	await world.advance(16_000);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(world.countRuns(id)).toBe(2);
});

test('workers that are cordoned for a wave do not wait for each other', async () => {
	const world = createTestWorld({seed: 6, minionCount: 2, hasWorkerOrders: true});
	// Before the idle workers are switched off.
	await world.advance(600);
	const single = {count: 1, isLasting: true};
	world.submit([{...single, request: {cpuMillicores: 2000, memoryMb: 512, gpus: 0}}]);
	await world.advance(50);
	world.submit([single]);
	await world.advance(50);
	world.submit([single]);
	await world.advance(50);
	const spread = {
		count: 2, isLasting: true, maximumPerMinion: 1, disruptionBudget: 1,
	};
	const first = world.submit([spread]);
	await world.advance(2000);
	// The second task of the job is away when the wave begins, and can only return to the second worker. The first
	// worker keeps the first task of the job, since the budget is used, and can't be maintained.
	world.failAll(1, 1200);
	const second = world.submit([spread]);
	await world.advance(600);
	void world.startWave(2, 2);
	await world.advance(16_000);
	expect(world.listOverdueTasks()).toEqual([]);
	await world.advance(8000);
	expect(await world.isWaveCompleted()).toBe(true);
	expect([world.countRuns(first.id), world.countRuns(second.id)]).toEqual([2, 2]);
});

type EventKind
	= 'silence' | 'cut' | 'crash' | 'restart' | 'restartUnnoticed' | 'restartUnknown' | 'lateOrders' | 'failAll' | 'failMost' | 'disturbOrders' | 'disturbMost'
		| 'loseOrders' | 'stallLog' | 'loseOutcome' | 'dropCommands' | 'delayCommit' | 'changeLeader' | 'pauseLeader' | 'startWave' | 'leave' | 'drain'
		| 'submitLasting' | 'submitBurst' | 'cancel';

type HistoryEvent = {
	readonly afterMs: number;
	readonly kind: EventKind;
	readonly index: number;
	readonly forMs: number;
	readonly variant: number;
	/** How many tasks more than minions a long-running step has. */
	readonly surplus: number;
	readonly hasBudget: boolean;
};

/** Events close to each other, and the time without any after them. */
type Phase = {
	readonly events: readonly HistoryEvent[];
	readonly calmMs: number;
};

type History = {
	readonly seed: number;
	readonly minionCount: number;
	readonly failureChance: number;
	readonly meanLifeMs: number | undefined;
	readonly approvalChance: number | undefined;
	readonly standbyWorkers: number;
	readonly hasWorkerOrders: boolean;
	/** Time between two jobs that keep the minions busy, and the number of tasks of each. */
	readonly arrivalMs: number;
	readonly arrivalCount: number;
	readonly lasting: readonly HistoryEvent[];
	readonly phases: readonly Phase[];
};

const createEvents = (kind: fc.Arbitrary<EventKind>): fc.Arbitrary<HistoryEvent> => fc.record({
	afterMs: fc.integer({min: 0, max: 2500}),
	kind,
	index: fc.integer({min: 0, max: 5}),
	forMs: fc.integer({min: 100, max: 8000}),
	variant: fc.integer({min: 0, max: 11}),
	surplus: fc.constantFrom(-1, 0, 0, 1),
	hasBudget: fc.boolean(),
});

const eventKinds = fc.constantFrom<EventKind>(
	...['silence', 'cut', 'crash', 'restart', 'restartUnnoticed', 'restartUnknown', 'lateOrders', 'failAll', 'failMost', 'disturbOrders', 'disturbMost'] as const,
	...['loseOrders', 'stallLog', 'loseOutcome', 'dropCommands', 'delayCommit', 'changeLeader', 'pauseLeader', 'startWave', 'leave', 'drain'] as const,
	...['submitLasting', 'submitBurst', 'cancel'] as const,
);

const histories: fc.Arbitrary<History> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	minionCount: fc.integer({min: 2, max: 6}),
	failureChance: fc.constantFrom(0, 0.01, 0.05),
	meanLifeMs: fc.constantFrom(undefined, 5000, 10_000, 40_000),
	approvalChance: fc.constantFrom(undefined, undefined, 1, 0.6),
	standbyWorkers: fc.constantFrom(0, 1, 2),
	hasWorkerOrders: fc.boolean(),
	arrivalMs: fc.constantFrom(100, 250, 600, 2000),
	arrivalCount: fc.integer({min: 1, max: 4}),
	lasting: fc.array(createEvents(fc.constant('submitLasting')), {minLength: 1, maxLength: 3}),
	phases: fc.array(fc.record({
		events: fc.array(createEvents(eventKinds), {minLength: 1, maxLength: 4}),
		calmMs: fc.constantFrom(0, 2000, 12_000, 18_000),
	}), {minLength: 1, maxLength: 3}),
});

const orderFaults: readonly OrderFault[] = ['refused', 'noRoom', 'unhealthy', 'unanswered'];
const commandTypes = ['runs/assigned', 'runs/ended', 'minion/joined', 'minion/left', 'batch', 'wave/workerOrdered', 'wave/workerBegun', 'job/accepted'] as const;
const finalCalmMs = 22_000;

const createPlayer = (world: TestWorld, {minionCount, arrivalMs, arrivalCount}: History) => {
	const longRunning: JobId[] = [];
	let nextArrivalMs = 0;
	const getCommandType = ({variant}: HistoryEvent) => commandTypes[variant % commandTypes.length] ?? 'batch';
	const getOrderFault = ({variant}: HistoryEvent) => orderFaults[variant % orderFaults.length] ?? 'refused';

	const handlers: Readonly<Record<EventKind, (event: HistoryEvent) => void>> = {
		silence({index, forMs}) {
			world.silence(index, forMs);
		},
		cut({index, forMs}) {
			world.cutFromLeader(index, forMs);
		},
		crash({index}) {
			world.crash(index);
		},
		restart({index}) {
			world.restart(index);
		},
		restartUnnoticed({index}) {
			world.restartUnnoticed(index);
		},
		restartUnknown({index}) {
			world.loseOutcome('minion/joined');
			world.restart(index);
		},
		lateOrders({index, forMs}) {
			world.sendLateOrdersToNextIncarnation();
			world.silence(index, forMs);
			world.restart(index);
		},
		failAll({index, forMs}) {
			world.failAll(index, forMs);
		},
		failMost({forMs}) {
			for (let index = 0; index < minionCount; index += 1) {
				world.failAll(index, forMs / 2);
			}
		},
		disturbOrders(event) {
			world.disturbOrders(event.index, getOrderFault(event), event.forMs);
		},
		disturbMost(event) {
			for (let index = 1; index < minionCount; index += 1) {
				world.disturbOrders(index, getOrderFault(event), event.forMs / 2);
			}
		},
		loseOrders({forMs}) {
			world.loseOrders(0.3, forMs);
		},
		stallLog({forMs}) {
			world.stallLog(forMs);
		},
		loseOutcome(event) {
			world.loseOutcome(getCommandType(event));
		},
		dropCommands(event) {
			world.dropCommands([getCommandType(event)], event.forMs / 2);
		},
		delayCommit(event) {
			world.delayCommit(getCommandType(event), event.forMs / 2);
		},
		changeLeader() {
			void world.changeLeader();
		},
		pauseLeader({forMs}) {
			world.pauseLeader(forMs / 2);
		},
		startWave({variant}) {
			void world.startWave(Math.max(1, minionCount - 1), 1 + (variant % 2));
		},
		leave({index, forMs}) {
			world.leaveUnconfirmed(index, forMs / 2);
		},
		drain({index}) {
			world.drain(index);
		},
		submitLasting({variant, surplus, hasBudget}) {
			longRunning.push(world.submit([{
				count: Math.max(1, minionCount + surplus),
				isLasting: true,
				maximumPerMinion: 1 + (variant % 2),
				...(hasBudget && {disruptionBudget: 1}),
				request: {cpuMillicores: variant % 3 === 0 ? 2000 : 1000, memoryMb: 512, gpus: 0},
			}]).id);
		},
		submitBurst({variant}) {
			for (let count = 0; count < 8; count += 1) {
				world.submit([{count: 1 + (variant % 4), allowsCopies: variant === 3}]);
			}
		},
		cancel({index}) {
			const job = longRunning[index];
			if (job !== undefined) {
				void world.cancel(job);
			}
		},
	};

	const advance = async (durationMs: number) => {
		const untilMs = world.getNow() + durationMs;
		while (world.getNow() < untilMs) {
			if (world.getNow() >= nextArrivalMs) {
				world.submit([{count: arrivalCount}]);
				nextArrivalMs = world.getNow() + arrivalMs;
			}

			await world.advance(Math.max(5, Math.min(nextArrivalMs, untilMs) - world.getNow())); // eslint-disable-line no-await-in-loop -- virtual time advances in steps
		}
	};

	return {
		advance,
		async handle(event: HistoryEvent) {
			await advance(event.afterMs);
			handlers[event.kind](event);
		},
	};
};

const playHistory = async (history: History): Promise<TestWorld> => {
	const {seed, minionCount, failureChance, meanLifeMs, approvalChance, standbyWorkers, hasWorkerOrders, lasting, phases} = history;
	const world = await startTestWorld({
		seed,
		minionCount,
		failureChance,
		standbyWorkers,
		hasWorkerOrders: hasWorkerOrders || standbyWorkers > 0,
		hasAdvice: approvalChance !== undefined,
		...(approvalChance !== undefined && {approvalChance}),
		...(meanLifeMs !== undefined && {meanLifeMs}),
	});
	const player = createPlayer(world, history);
	for (const {events, calmMs} of [{events: lasting, calmMs: 1000}, ...phases]) {
		for (const event of events) {
			await player.handle(event); // eslint-disable-line no-await-in-loop -- events happen one at a time
		}

		await player.advance(calmMs); // eslint-disable-line no-await-in-loop -- phases follow each other
	}

	await player.advance(finalCalmMs);
	return world;
};

const createHistoryProperty = () => fc.asyncProperty(histories, async history => {
	const world = await playHistory(history);
	expect(world.listOverdueTasks()).toEqual([]);
	expect(world.listViolations()).toEqual([]);
});

test('over random histories, no long-running task waits beside a minion with room once nothing has been wrong for a while', async () => {
	await fc.assert(createHistoryProperty(), {numRuns: runs, seed: historySeed, endOnFailure: true});
}, 600_000);
