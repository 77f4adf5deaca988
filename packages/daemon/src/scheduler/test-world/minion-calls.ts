/**
 * The leader's calls to the simulated minions: carried out now, late, or never.
 */
import type {TaskId} from '@samphiremill/core';
import {getTermOfToken} from '../call-token.js';
import type {
	FinishedEntry, HoldReport, MinionAnswer, MinionPort, StartRefusal, StartResult,
} from '../types.js';
import {maximumStopMs, stepMs, warmUpMs} from './constants.js';
import type {DeadlyRuns} from './deadly-runs.js';
import type {Gangs} from './gangs.js';
import type {FakeFleet} from './minions.js';
import type {Simulation} from './simulation.js';
import type {FakeMinion, FakeRun} from './types.js';

type HoldOrder = Parameters<MinionPort['hold']>[0];
type StartOrder = Parameters<MinionPort['start']>[0];

/** How a call reaches a minion. */
type Delivery = {
	/** The call was delayed on its way. */
	readonly isLate: boolean;
};

/** Where a call goes, and which leader sends it. */
type Route = {
	readonly address: string;
	readonly fencingToken: number;
	readonly timeoutMs: number;
	/** After which time the call is carried out, if it is one that a test delays. */
	readonly arrivalMs?: number | undefined;
};

/** A call that gets no answer. */
type LostCall = Pick<Route, 'address' | 'arrivalMs'> & {
	readonly minion: FakeMinion | undefined;
	/** Whether it was lost on its way, and not at a minion that does not answer. */
	readonly isLost: boolean;
};

type CarryOut<Value> = (minion: FakeMinion, delivery: Delivery) => Promise<MinionAnswer<Value>> | MinionAnswer<Value>;

/** What the calls work on. */
export type MinionCallOptions = {
	readonly simulation: Simulation;
	readonly fleet: FakeFleet;
	readonly deadlyRuns: DeadlyRuns;
	readonly gangs: Gangs;
	/** Called after each start that a minion carries out. */
	readonly onStart: (task: TaskId) => void;
};

/**
 * Creates the port through which leaders call the minions of a simulation.
 *
 * @param options - The simulation and its parts.
 * @returns The port.
 */
export function createMinionCalls({simulation, fleet, deadlyRuns, gangs, onStart}: MinionCallOptions): MinionPort {
	const {minions, random, timers, faults, settings, pause, checks} = simulation;
	const {getClock, applyElapsedTime} = fleet;

	const answer = <Value>(minion: FakeMinion, value: Value): MinionAnswer<Value> => ({type: 'answered', value, clockMs: getClock(minion)});

	const refuse = (minion: FakeMinion, reason: StartRefusal) => answer<StartResult>(minion, {type: 'refused', reason});

	// A call that gets no answer is carried out once the minion answers again, seconds later, or never.
	const scheduleLate = <Value>({address, minion, isLost, arrivalMs}: LostCall, carryOut: CarryOut<Value>) => {
		const carryOutLate = () => {
			const recipient = faults.areLateOrdersSentToNextIncarnation ? minions.get(address) : minion;
			if (recipient !== undefined && !recipient.isGone && !recipient.isSilent && (minion === undefined || minion.record.minion === recipient.record.minion)) {
				simulation.recordFault();
				applyElapsedTime(recipient);
				void carryOut(recipient, {isLate: true});
			}
		};

		if (arrivalMs !== undefined) {
			timers.scheduleOnce(arrivalMs, carryOutLate);
		} else if (minion?.isSilent) {
			minion.delayed.push(carryOutLate);
		} else if (isLost && random() < 0.5) {
			timers.scheduleOnce(2000 + (random() * 10_000), carryOutLate);
		}
	};

	// Carries out an order now or later, or loses it. An order that is delayed or lost ends with the caller's timeout.
	const deliver = async <Value>({address, fencingToken, timeoutMs, arrivalMs}: Route, carryOut: CarryOut<Value>): Promise<MinionAnswer<Value>> => {
		// Awaited only by a process that does not run, so that the callbacks of the others keep their order.
		const process = simulation.leaderProcesses.get(getTermOfToken(fencingToken));
		if (process?.isRunning() === false) {
			await process.waitUntilRunning();
		}

		await pause(1);
		// What a process that stands still was about to send is sent once it runs again. What one that is gone has sent is under way.
		if (process?.isRunning() === false && !process.isGone()) {
			await process.waitUntilRunning();
		}

		const minion = minions.get(address);
		const isLost = arrivalMs !== undefined || random() < simulation.getLossChance();
		if (isLost) {
			checks.record({type: 'faultSeen', untilMs: timers.getNow() + timeoutMs});
		}

		if (minion?.isRefusing === true) {
			return {type: 'notSent', isRefused: true};
		}

		if (minion === undefined || minion.isGone || minion.isSilent || isLost) {
			scheduleLate({
				address, minion, isLost, arrivalMs,
			}, carryOut);
			await pause(timeoutMs);
			if (process?.isRunning() === false) {
				await process.waitUntilRunning();
			}

			return {type: 'noAnswer'};
		}

		applyElapsedTime(minion);
		const result = await carryOut(minion, {isLate: false});
		await pause(1);
		// A process that stands still reads the answer once it runs again.
		if (process?.isRunning() === false) {
			await process.waitUntilRunning();
		}

		return minion.isGone || minion.isSilent ? {type: 'noAnswer'} : result;
	};

	const deliverOrder = async <Value>(route: Route, carryOut: CarryOut<Value>): Promise<MinionAnswer<Value>> => {
		const minion = minions.get(route.address);
		if (minion !== undefined && fleet.getOrderFault(minion) === 'unanswered') {
			await pause(route.timeoutMs);
			return {type: 'noAnswer'};
		}

		return deliver(route, carryOut);
	};

	const isLastingTask = (id: TaskId) => simulation.findStep(id)?.isLasting === true;

	const getPercent = (id: TaskId, startedAtMs: number, endsAtMs: number) => {
		if (isLastingTask(id)) {
			return timers.getNow() - startedAtMs > warmUpMs ? 100 : 50;
		}

		return Math.floor(100 * (timers.getNow() - startedAtMs) / (endsAtMs - startedAtMs));
	};

	const listRuns = (minion: FakeMinion): HoldReport => ({
		bornAtMs: minion.record.bornAtMs,
		running: [...minion.runs].map(([id, run]) => ({
			task: id, run: run.run, checkpoint: fleet.getCheckpoint({minion, id, run}), percent: getPercent(id, run.startedAtMs, run.endsAtMs), gauge: 0,
		})),
		finished: [...minion.finished],
	});

	const forgetEnds = (minion: FakeMinion, lastSeen: number) => {
		checks.record({type: 'endsAcknowledged', life: minion.record.life, lastSeen});
		minion.finished = minion.finished.filter(({number}: FinishedEntry) => number > lastSeen);
	};

	const isFenced = (minion: FakeMinion, fencingToken: number) => {
		if (fencingToken < minion.fencingToken) {
			return true;
		}

		minion.fencingToken = fencingToken;
		return false;
	};

	const renewLease = (minion: FakeMinion, deadlineMs: number) => {
		minion.deadlineMs = Math.max(minion.deadlineMs, Math.min(deadlineMs, getClock(minion) + settings.longestHoldMs));
	};

	const answerDisturbed = (minion: FakeMinion): MinionAnswer<StartResult> | undefined => {
		switch (fleet.getOrderFault(minion)) {
			case 'refused': {
				return refuse(minion, 'other');
			}

			case 'noRoom': {
				return refuse(minion, 'noRoom');
			}

			case 'badTicket': {
				return refuse(minion, 'badTicket');
			}

			case 'unhealthy': {
				return {type: 'unhealthy'};
			}

			case 'invalid': {
				return {type: 'invalid', message: 'malformed start'};
			}

			case 'unanswered':
			case undefined: {
				return undefined;
			}
		}
	};

	const drawRun = (minion: FakeMinion, {task, run, checkpoint}: StartOrder): FakeRun => {
		const isLasting = isLastingTask(task);
		const isFailure = random() < settings.failureChance;
		const isFailing = timers.getNow() < minion.failsUntilMs;
		return {
			run,
			checkpoint,
			startedAtMs: timers.getNow(),
			workingSinceMs: timers.getNow(),
			endsAtMs: timers.getNow() + fleet.drawRunDurationMs(minion, isLasting),
			ending: isFailure || isFailing || isLasting ? 'failed' : 'done',
			stopAtMs: Number.POSITIVE_INFINITY,
		};
	};

	const beginRun = (minion: FakeMinion, order: StartOrder) => {
		const {task, deadlineMs} = order;
		fleet.recordStart(minion);
		onStart(task);
		renewLease(minion, deadlineMs);
		minion.highestRuns.set(task, order.run);
		const run = drawRun(minion, order);
		minion.runs.set(task, run);
		if (gangs.isMember(task)) {
			gangs.join({minion, id: task, run});
		}

		deadlyRuns.recordStart(minion, task);
	};

	const start = (minion: FakeMinion, order: StartOrder, {isLate}: Delivery): MinionAnswer<StartResult> => {
		if (isLate && faults.areLateStartsLost && order.target.life !== minion.record.life) {
			return refuse(minion, 'other');
		}

		if (isFenced(minion, order.fencingToken)) {
			return refuse(minion, 'fenced');
		}

		if (minion.runs.get(order.task)?.run === order.run) {
			return answer<StartResult>(minion, {type: 'started'});
		}

		if (order.run <= (minion.highestRuns.get(order.task) ?? 0)) {
			return refuse(minion, 'oldRun');
		}

		// A late order is carried out if the lease has been renewed in the meantime.
		if (Math.max(order.deadlineMs, minion.deadlineMs) <= getClock(minion)) {
			return refuse(minion, 'lateDeadline');
		}

		const disturbed = answerDisturbed(minion);
		if (disturbed !== undefined) {
			return disturbed;
		}

		// The leader may have learnt only afterwards that another incarnation is at the address. A real minion refuses what it has no room for.
		if (order.target.life !== minion.record.life && !checks.hasRoom(minion.record.life, order.task)) {
			return refuse(minion, 'noRoom');
		}

		const {task, run, payload, checkpoint, ticket} = order;
		checks.record({
			type: 'runStarted', life: minion.record.life, task, run, payload, checkpoint, ticket, isLate,
		});
		beginRun(minion, order);
		return answer<StartResult>(minion, {type: 'started'});
	};

	const getRoute = ({target: {address}, fencingToken, timeoutMs}: Pick<StartOrder, 'target' | 'fencingToken' | 'timeoutMs'>): Route => ({address, fencingToken, timeoutMs});

	const takeDelayedHold = ({target, deadlineMs}: HoldOrder): Pick<Route, 'arrivalMs'> => {
		const {delayedHold} = faults;
		if (delayedHold?.minion !== target.minion || deadlineMs === undefined) {
			return {};
		}

		faults.delayedHold = undefined;
		return {arrivalMs: delayedHold.arrivalMs};
	};

	return {
		hold: async order => deliver<HoldReport | 'fenced'>({...getRoute(order), ...takeDelayedHold(order)}, async minion => {
			if (isFenced(minion, order.fencingToken)) {
				return answer(minion, 'fenced' as const);
			}

			if (order.deadlineMs !== undefined) {
				renewLease(minion, order.deadlineMs);
			}

			forgetEnds(minion, order.lastSeen);
			const untilMs = timers.getNow() + order.waitMs;
			const isWaiting = () => minion.finished.length === 0 && timers.getNow() < untilMs && (!minion.isGone || faults.isCrashUnnoticed);
			while (isWaiting()) {
				await pause(stepMs); // eslint-disable-line no-await-in-loop -- polls until a run ends
				applyElapsedTime(minion);
			}

			checks.record({type: 'endsListed', life: minion.record.life});
			return answer(minion, listRuns(minion));
		}),
		start: async order => deliverOrder<StartResult>(getRoute(order), (minion, delivery) => start(minion, order, delivery)),
		stop: async order => deliverOrder<'stopping' | 'fenced'>(getRoute(order), minion => {
			if (isFenced(minion, order.fencingToken)) {
				return answer(minion, 'fenced' as const);
			}

			const run = minion.runs.get(order.task);
			// A stop of an earlier run ends nothing.
			const isStopped = run !== undefined && run.run <= order.run;
			if (isStopped) {
				checks.record({
					type: 'stopOrdered', life: minion.record.life, task: order.task, isAtWork: fleet.isAtWork(order.task),
				});
			}

			minion.highestRuns.set(order.task, Math.max(order.run, minion.highestRuns.get(order.task) ?? 0));
			if (isStopped) {
				run.stopAtMs = Math.min(run.stopAtMs, timers.getNow() + (random() * maximumStopMs));
			}

			return answer(minion, 'stopping' as const);
		}),
		pace: async order => deliver<'paced' | 'fenced'>(getRoute(order), minion => answer(minion, isFenced(minion, order.fencingToken) ? 'fenced' as const : 'paced' as const)),
		retain: () => undefined,
	};
}
