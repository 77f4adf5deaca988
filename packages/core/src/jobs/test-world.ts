/**
 * Simulation of the shell, the key owners and the minions. It records what really happens, and the
 * state of the jobs is checked against that. Events reach the reducer late, repeatedly and in any
 * order.
 */
import {
	createMinion, createSpec, createTestNode, toJob, toKey, toMinion, toMs, toPool, toTeam, toWorker,
	type TimelessEvent,
} from './test-fleet.js';
import type {
	JobAttempt, JobOutcome, JobsEffect, JobSpec, PlaceableMinion,
} from './types.js';

/** One random step of a simulation run. */
export type SimulationAction = {
	readonly kind:
		| 'submit' | 'claim' | 'record' | 'send' | 'answer' | 'breakAnswer' | 'fail' | 'stop' | 'end' | 'deliver'
		| 'cancel' | 'advance' | 'minion' | 'limit' | 'lease' | 'elsewhere';
	/** Selects the item that the step applies to. */
	readonly pick: number;
	readonly flag: boolean;
};

type ActualAttempt = JobAttempt & {
	readonly minion: string;
	readonly incarnation: number;
	/** Whether a byte was sent. */
	readonly isSent: boolean;
	/** Whether the shell has finished with the attempt. */
	readonly isClosed: boolean;
	/** Whether the minion holds no part of the attempt and no part can still arrive. */
	readonly hasEnded: boolean;
};

const teams = ['parish', 'treasury', 'open'].map(name => toTeam(name));
const pools = ['counters', 'desks'].map(name => toPool(name));
const initialMinions = ['a', 'b', 'c'].map((name, index) => createMinion({
	minion: toMinion(name),
	worker: toWorker(name === 'c' ? 'b' : name),
	pool: pools[index === 2 ? 1 : 0] ?? toPool('counters'),
	heldSlots: 2,
	connections: 2,
}));

function pickItem<Item>(items: readonly Item[], pick: number): Item | undefined {
	return items[pick % Math.max(1, items.length)];
}

/** Creates a simulation in its initial state. */
export function createJobsSimulation() {
	const node = createTestNode({maximumRetryTokens: 3, health: {ejectionFailures: 3, ejectionBaseMs: 500, ejectionMaximumMs: 4000}});
	const submitted: JobSpec[] = [];
	const finished: Array<{readonly spec: JobSpec; readonly outcome: JobOutcome}> = [];
	const attempts = new Map<string, ActualAttempt>();
	const pendingEvents: TimelessEvent[] = [];
	const claimedSpecs: JobSpec[] = [];
	const records: JobAttempt[] = [];
	const recorded = new Set<string>();
	const violations: string[] = [];
	let deliveredCount = 0;
	let minions: readonly PlaceableMinion[] = initialMinions;
	let placedCount = 0;

	const reportIf = (isBroken: boolean, message: string) => {
		if (isBroken) {
			violations.push(message);
		}
	};

	const getKey = ({job, attempt}: JobAttempt) => `${job}#${attempt}`;
	const listAttemptsOf = (job: string) => [...attempts.values()].filter(attempt => attempt.job === job);

	const checkFinish = (spec: JobSpec, outcome: JobOutcome) => {
		reportIf(finished.some(other => other.spec.job === spec.job), `${spec.job} finished twice`);
		const mayHaveSent = listAttemptsOf(spec.job).some(({isSent, isClosed}) => isSent || !isClosed);
		const isReportedAsNotRun = outcome.type === 'refused' && outcome.ran === 'no';
		reportIf(isReportedAsNotRun && mayHaveSent, `${spec.job} is reported as not run, but may have run`);
	};

	const checkDispatch = (effect: JobsEffect & {readonly type: 'jobs/dispatch'}) => {
		const spec = submitted.find(({job}) => job === effect.job);
		reportIf(finished.some(other => other.spec.job === effect.job), `${effect.job} dispatched after it finished`);
		reportIf(attempts.has(getKey(effect)), `${getKey(effect)} dispatched twice`);
		const isNonIdempotent = spec?.isIdempotent === false;
		const isInFlight = listAttemptsOf(effect.job).some(({isSent, isClosed}) => isSent || !isClosed);
		reportIf(isNonIdempotent && isInFlight, `${effect.job} may run twice`);
		const isKeyed = spec?.idempotencyKey !== undefined;
		reportIf(isNonIdempotent && isKeyed && !recorded.has(getKey(effect)), `${getKey(effect)} has no start record`);
	};

	const checkPlaced = (effects: readonly JobsEffect[]) => {
		const state = node.getState();
		for (const effect of effects) {
			if (effect.type === 'jobs/decision' && effect.decision.kind === 'placed') {
				placedCount += 1;
				const {minion, team} = effect.decision;
				const known = state.minions.get(minion);
				reportIf(!known?.info.isAcceptingWork, `${minion} does not accept work`);
				reportIf((known?.usedSlots ?? 0) > (known?.info.heldSlots ?? 0), `${minion} has too many jobs`);
				reportIf((known?.usedConnections ?? 0) > (known?.info.connections ?? 0), `${minion} has too many connections`);
				const teamState = state.teams.get(team);
				reportIf(teamState?.isLimited === true && teamState.running > teamState.heldLimit, `${team} is over its limit`);
			}
		}
	};

	const handleEffect = (effect: JobsEffect) => {
		if (effect.type === 'jobs/claim') {
			claimedSpecs.push(effect.spec);
		}

		if (effect.type === 'jobs/recordStart') {
			records.push({job: effect.job, attempt: effect.attempt});
		}

		if (effect.type === 'jobs/dispatch') {
			checkDispatch(effect);
			const {job, attempt, minion, incarnation} = effect;
			attempts.set(getKey(effect), {
				job, attempt, minion, incarnation, isSent: false, isClosed: false, hasEnded: false,
			});
		}

		if (effect.type === 'jobs/finish') {
			checkFinish(effect.spec, effect.outcome);
			finished.push({spec: effect.spec, outcome: effect.outcome});
		}
	};

	const send = (event: TimelessEvent) => {
		const effects = node.send(event);
		checkPlaced(effects);
		for (const effect of effects) {
			handleEffect(effect);
		}
	};

	const updateAttempt = (attempt: ActualAttempt, changes: Partial<ActualAttempt>, ...events: readonly TimelessEvent[]) => {
		attempts.set(getKey(attempt), {...attempt, ...changes});
		pendingEvents.push(...events);
	};

	const deliver = (event: TimelessEvent) => {
		if (event.type === 'jobs/startRecorded' && event.ok) {
			recorded.add(getKey(event));
		}

		send(event);
	};

	const pickAttempt = (pick: number, isWanted: (attempt: ActualAttempt) => boolean) => pickItem([...attempts.values()].filter(attempt => isWanted(attempt)), pick);

	/** Ends all tasks of an incarnation. No further request can reach it. */
	const endTasks = (minion: string, incarnation: number) => {
		for (const attempt of attempts.values()) {
			if (attempt.minion === minion && attempt.incarnation === incarnation && !attempt.hasEnded) {
				const id = {job: attempt.job, attempt: attempt.attempt};
				const isUnsent = !attempt.isSent && !attempt.isClosed;
				const failed = {
					type: 'jobs/attemptFailed' as const, ...id, bytesSent: false, kind: 'connectRefused' as const,
				};
				updateAttempt(attempt, {hasEnded: true, isClosed: attempt.isClosed || isUnsent}, ...(isUnsent ? [failed] : []));
			}
		}
	};

	const changeMinion = (pick: number, flag: boolean) => {
		const chosen = pickItem(initialMinions, pick);
		const known = minions.find(({minion}) => minion === chosen?.minion);
		if (chosen === undefined) {
			return;
		}

		const others = minions.filter(({minion}) => minion !== chosen.minion);
		const variants: readonly PlaceableMinion[] = known === undefined
			? [{...chosen, incarnation: flag ? 9 + pick : chosen.incarnation}]
			: [
				{...known, isAcceptingWork: !known.isAcceptingWork},
				{...known, heldSlots: (known.heldSlots + 1 + (pick % 3)) % 4},
				{...known, pool: pickItem(pools, pick) ?? known.pool},
				{...known, incarnation: known.incarnation + 1},
			];
		const next = flag && known !== undefined && pick % 5 === 0 ? undefined : pickItem(variants, Math.floor(pick / 3));
		minions = next === undefined ? others : [...others, next];
		send({type: 'jobs/minionsChanged', minions});
		if (known !== undefined && next !== undefined && next.incarnation > known.incarnation) {
			endTasks(known.minion, known.incarnation);
		}
	};

	const submit = (pick: number, flag: boolean) => {
		const number = submitted.length;
		const spec = createSpec({
			job: toJob(`job-${number}`),
			team: pickItem(teams, pick) ?? toTeam('parish'),
			pool: pickItem(pools, Math.floor(pick / 3)) ?? toPool('counters'),
			urgency: pick % 4 === 0 ? 'urgent' : 'ordinary',
			isIdempotent: flag,
			submittedAtMs: toMs(node.getNowMs()),
			deadlineAtMs: toMs(node.getNowMs() + 500 + ((pick % 7) * 400)),
			...(pick % 2 === 0 ? {idempotencyKey: toKey(`key-${number}`)} : {}),
		});
		submitted.push(spec);
		send({type: 'jobs/submitted', spec});
	};

	const answerClaim = (pick: number) => {
		const spec = pickItem(claimedSpecs, pick);
		const answers = [
			{type: 'granted' as const},
			{type: 'granted' as const},
			{type: 'granted' as const},
			{type: 'unknown' as const},
			{type: 'conflict' as const},
			{type: 'inProgress' as const},
			{type: 'replay' as const, outcome: {type: 'answered' as const, minion: toMinion('a'), status: 200}},
		];
		const answer = pickItem(answers, Math.floor(pick / 7));
		if (spec !== undefined && answer !== undefined) {
			pendingEvents.push({type: 'jobs/claimAnswered', job: spec.job, answer});
		}
	};

	const answer = (attempt: ActualAttempt) => {
		const id = {job: attempt.job, attempt: attempt.attempt};
		updateAttempt(
			attempt,
			{isSent: true, isClosed: true, hasEnded: true},
			{type: 'jobs/answerStarted', ...id, status: 200},
			{type: 'jobs/answered', ...id, status: 200},
		);
	};

	const fail = (attempt: ActualAttempt, flag: boolean) => {
		updateAttempt(attempt, {isClosed: true, hasEnded: attempt.hasEnded || !attempt.isSent}, {
			type: 'jobs/attemptFailed',
			job: attempt.job,
			attempt: attempt.attempt,
			bytesSent: attempt.isSent,
			kind: attempt.isSent ? (flag ? 'reset' : 'timeout') : (flag ? 'connectRefused' : 'connectTimeout'),
		});
	};

	const actOnAttempt = ({kind, pick, flag}: SimulationAction) => {
		const isOpen = ({isClosed}: ActualAttempt) => !isClosed;
		const isRunning = ({isClosed, isSent}: ActualAttempt) => isSent && !isClosed;
		const attempt = pickAttempt(pick, kind === 'fail' || kind === 'send' ? isOpen : isRunning);
		if (attempt === undefined) {
			return;
		}

		const id = {job: attempt.job, attempt: attempt.attempt};
		if (kind === 'send') {
			updateAttempt(attempt, {isSent: true}, {type: 'jobs/firstByteSent', ...id});
		}

		if (kind === 'answer') {
			answer(attempt);
		}

		if (kind === 'breakAnswer') {
			pendingEvents.push({type: 'jobs/answerStarted', ...id, status: 200});
		}

		if (kind === 'fail' || kind === 'breakAnswer') {
			fail(attempt, flag);
		}

		if (kind === 'stop') {
			updateAttempt(attempt, {isClosed: true, hasEnded: true}, {
				type: 'jobs/attemptFailed', ...id, bytesSent: true, kind: flag ? 'stopped' : 'busy',
			});
		}
	};

	const endTask = (pick: number) => {
		const attempt = pickAttempt(pick, ({isSent, hasEnded}) => isSent && !hasEnded);
		if (attempt !== undefined) {
			updateAttempt(attempt, {hasEnded: true}, {type: 'jobs/slotFreed', job: attempt.job, attempt: attempt.attempt});
		}
	};

	const recordStart = (pick: number, flag: boolean) => {
		const record = pickItem(records, pick);
		if (record !== undefined) {
			pendingEvents.push({type: 'jobs/startRecorded', ...record, ok: flag || pick % 3 > 0});
		}
	};

	const deliverEvent = (pick: number, flag: boolean) => {
		const event = flag ? pendingEvents[deliveredCount] : pickItem(pendingEvents, pick);
		deliveredCount += Number(flag && event !== undefined);
		if (event !== undefined) {
			deliver(event);
		}
	};

	const endLeases = (pick: number) => {
		const chosen = pickItem(initialMinions, pick)?.minion;
		if (chosen === undefined || minions.some(({minion}) => minion === chosen)) {
			return;
		}

		const endedAttempts = [...attempts.values()].filter(({minion}) => minion === chosen);
		for (const incarnation of new Set(endedAttempts.map(attempt => attempt.incarnation))) {
			endTasks(chosen, incarnation);
			send({type: 'jobs/leaseEnded', minion: chosen, incarnation});
		}
	};

	const reportRunningElsewhere = (pick: number) => {
		const pool = pickItem(pools, pick) ?? toPool('counters');
		const running = teams.map((team, index) => ({pool, team, running: (pick + index) % 5}));
		send({type: 'jobs/runningElsewhere', running});
	};

	const advance = (pick: number) => {
		node.advance(pick % 300);
		send({type: 'jobs/tick'});
	};

	const handlers: Readonly<Record<SimulationAction['kind'], (action: SimulationAction) => void>> = {
		submit({pick, flag}) {
			submit(pick, flag);
		},
		claim({pick}) {
			answerClaim(pick);
		},
		record({pick, flag}) {
			recordStart(pick, flag);
		},
		send: actOnAttempt,
		answer: actOnAttempt,
		breakAnswer: actOnAttempt,
		fail: actOnAttempt,
		stop: actOnAttempt,
		end({pick}) {
			endTask(pick);
		},
		deliver({pick, flag}) {
			deliverEvent(pick, flag);
		},
		cancel({pick}) {
			send({type: 'jobs/cancelRequested', job: pickItem(submitted, pick)?.job ?? toJob('unknown')});
		},
		advance({pick}) {
			advance(pick);
		},
		minion({pick, flag}) {
			changeMinion(pick, flag);
		},
		limit({pick}) {
			send({type: 'jobs/limitHeld', team: toTeam('parish'), amount: pick % 4});
		},
		lease({pick}) {
			endLeases(pick);
		},
		elsewhere({pick}) {
			reportRunningElsewhere(pick);
		},
	};

	const act = (action: SimulationAction) => {
		handlers[action.kind](action);
	};

	/** Runs the simulation to its end: all events are delivered, all tasks end, and all deadlines pass. */
	const drain = () => {
		for (let round = 0; round < 40; round += 1) {
			for (const attempt of attempts.values()) {
				if (!attempt.isClosed) {
					answer(attempt);
				} else if (!attempt.hasEnded) {
					updateAttempt(attempt, {hasEnded: true}, {type: 'jobs/slotFreed', job: attempt.job, attempt: attempt.attempt});
				}
			}

			while (deliveredCount < pendingEvents.length) {
				const event = pendingEvents[deliveredCount];
				deliveredCount += 1;
				if (event !== undefined) {
					deliver(event);
				}
			}

			node.advance(500);
			send({type: 'jobs/tick'});
		}
	};

	send({type: 'jobs/policyChanged', policy: {queues: [], teams: [{team: toTeam('parish'), weight: 2, isLimited: true}]}});
	send({type: 'jobs/limitHeld', team: toTeam('parish'), amount: 2});
	send({type: 'jobs/minionsChanged', minions});

	return {
		act,
		drain,
		getState: node.getState,
		listAttempts: () => [...attempts.values()],
		listSubmitted: (): readonly JobSpec[] => submitted,
		listFinished: () => finished,
		listViolations: (): readonly string[] => violations,
		getPlacedCount: () => placedCount,
	};
}

/** The simulation that `createJobsSimulation` returns. */
export type JobsSimulation = ReturnType<typeof createJobsSimulation>;
