import {expect, test} from 'vitest';
import type {JobId} from '@samphiremill/common';
import {
	createMinion, createSpec, createTestNode, toJob, toKey, toMinion, toMs, toPool, toTeam, toWorker,
} from './test-fleet.js';
import type {JobsEffect, JobSpec} from './types.js';

const keyed = {idempotencyKey: toKey('key-1'), isIdempotent: false};
const first = {job: toJob('job-1'), attempt: 1};

test('a non-idempotent job is claimed, placed, recorded, dispatched and answered, in this order', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	const session = [
		node.send({type: 'jobs/submitted', spec: createSpec(keyed)}),
		node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}}),
		node.send({type: 'jobs/startRecorded', ...first, ok: true}),
		node.send({type: 'jobs/firstByteSent', ...first}),
		node.send({type: 'jobs/answerStarted', ...first, status: 201}),
		node.send({type: 'jobs/answered', ...first, status: 201}),
	];
	expect(session).toMatchSnapshot();
	expect(node.getState().jobs.size).toBe(0);
	expect(node.getState().reservations.size).toBe(0);
	expect(node.getState().timers.root).toBeUndefined();
});

test('a lost attempt of a non-idempotent job is refused at once with ran maybe, and keeps its slot until the minion reports it free', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/submitted', spec: createSpec(keyed)});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	node.send({type: 'jobs/startRecorded', ...first, ok: true});
	node.send({type: 'jobs/firstByteSent', ...first});
	expect(node.send({
		type: 'jobs/attemptFailed', ...first, bytesSent: true, kind: 'reset',
	})).toMatchSnapshot();
	expect(node.getState().minions.get(toMinion('minion-1'))?.usedSlots).toBe(1);
	node.send({type: 'jobs/slotFreed', ...first});
	expect(node.getState().minions.get(toMinion('minion-1'))?.usedSlots).toBe(0);
});

test('a job is not dispatched to a minion that stopped accepting work while the start was recorded', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/submitted', spec: createSpec(keyed)});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	const other = createMinion({minion: toMinion('minion-2'), worker: toWorker('worker-2')});
	node.send({type: 'jobs/minionsChanged', minions: [createMinion({isAcceptingWork: false}), other]});
	const effects = node.send({type: 'jobs/startRecorded', ...first, ok: true});
	expect(effects.filter(({type}) => type === 'jobs/dispatch')).toEqual([]);
	expect(effects).toContainEqual(expect.objectContaining({
		type: 'jobs/recordStart', attempt: 2, minion: toMinion('minion-2'),
	}));
});

test.each([
	[80, 'jobs/dispatch'], [120, 'jobs/finish'],
])('a job whose start is recorded late is dispatched only if half of the runs take less than is left (after %i of 200 ms: %s)', (recordedAfterMs, effect) => {
	const node = createTestNode();
	const runMs = 100;
	const deadlineMs = 200;
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	for (let index = 0; index < 8; index += 1) {
		const job = toJob(`earlier-${index}`);
		node.send({type: 'jobs/submitted', spec: createSpec({job, submittedAtMs: toMs(node.getNowMs())})});
		node.advance(runMs);
		node.send({
			type: 'jobs/answered', job, attempt: 1, status: 200,
		});
	}

	const submittedAtMs = toMs(node.getNowMs());
	node.send({type: 'jobs/submitted', spec: createSpec({...keyed, submittedAtMs, deadlineAtMs: toMs(submittedAtMs + deadlineMs)})});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	node.advance(recordedAfterMs);
	const effects = node.send({type: 'jobs/startRecorded', ...first, ok: true});
	expect(effects.map(({type}) => type).filter(type => type === 'jobs/dispatch' || type === 'jobs/finish')).toEqual([effect]);
	if (effect === 'jobs/finish') {
		expect(effects).toContainEqual(expect.objectContaining({
			type: 'jobs/finish', outcome: {
				type: 'refused', reason: 'deadlineTooNear', ran: 'no', retryAfterMs: 1000,
			},
		}));
		expect(node.getState().reservations.size).toBe(0);
	}
});

test('a job whose start is recorded after its deadline is not dispatched, though no run time is known', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/submitted', spec: createSpec({...keyed, deadlineAtMs: toMs(200)})});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	node.advance(201);
	const effects = node.send({type: 'jobs/startRecorded', ...first, ok: true});
	expect(effects.filter(({type}) => type === 'jobs/dispatch')).toEqual([]);
	expect(effects).toContainEqual(expect.objectContaining({
		type: 'jobs/finish', outcome: {
			type: 'refused', reason: 'deadlineTooNear', ran: 'no', retryAfterMs: 1000,
		},
	}));
});

test.each([[90, true], [110, false]])('a job whose start is recorded after %i of its 200 ms, while no run time is known, is dispatched: %s', (recordMs, isDispatched) => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/submitted', spec: createSpec({...keyed, deadlineAtMs: toMs(200)})});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	node.advance(recordMs);
	const effects = node.send({type: 'jobs/startRecorded', ...first, ok: true});
	expect(effects.some(({type}) => type === 'jobs/dispatch')).toBe(isDispatched);
	expect(effects.filter(({type}) => type === 'jobs/finish')).toEqual(isDispatched
		? []
		: [expect.objectContaining({
			outcome: {
				type: 'refused', reason: 'deadlineTooNear', ran: 'no', retryAfterMs: 1000,
			},
		})]);
});

test('a job whose start record is not synced in time is refused with ran no, and a late record starts nothing', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/submitted', spec: createSpec({...keyed, deadlineAtMs: toMs(200)})});
	node.send({type: 'jobs/claimAnswered', job: toJob('job-1'), answer: {type: 'granted'}});
	node.advance(201);
	const effects = node.send({type: 'jobs/tick'});
	expect(effects).toContainEqual(expect.objectContaining({
		type: 'jobs/finish', outcome: {
			type: 'refused', reason: 'ownerUnreachable', ran: 'no', retryAfterMs: 1000,
		},
	}));
	expect(node.send({type: 'jobs/startRecorded', ...first, ok: true})).toEqual([]);
	expect(node.getState().reservations.size).toBe(0);
});

test('a limited team runs no more jobs than its held limit, and continues when more is granted', () => {
	const node = createTestNode();
	const team = toTeam('parish');
	node.send({type: 'jobs/policyChanged', policy: {queues: [], teams: [{team, weight: 1, isLimited: true}]}});
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({type: 'jobs/limitHeld', team, amount: 1});
	node.send({type: 'jobs/submitted', spec: createSpec()});
	node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('job-2')})});
	expect(node.getState().reservations.size).toBe(1);
	const effects = node.send({type: 'jobs/limitHeld', team, amount: 2});
	expect(effects).toContainEqual(expect.objectContaining({type: 'jobs/dispatch', job: toJob('job-2')}));
});

test('a job that fits no worker, or whose pool has no worker, is refused at once with ran no', () => {
	const node = createTestNode();
	expect(node.send({type: 'jobs/submitted', spec: createSpec()})).toMatchSnapshot();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	const declared = {cores: 33, memoryMb: 1, runTimeMs: 1};
	expect(node.send({type: 'jobs/submitted', spec: createSpec({declared})})).toMatchSnapshot();
});

test('a job that cannot start in time is refused on submission, not at its deadline', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion({heldSlots: 1})]});
	for (let index = 0; index < 8; index += 1) {
		const job = toJob(`past-${index}`);
		node.send({type: 'jobs/submitted', spec: createSpec({job})});
		node.advance(1000);
		node.send({
			type: 'jobs/answered', job, attempt: 1, status: 200,
		});
	}

	node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('running')})});
	node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('waiting')})});
	const deadlineAtMs = toMs(node.getNowMs() + 1500);
	expect(node.send({
		type: 'jobs/submitted', spec: createSpec({job: toJob('late'), deadlineAtMs}),
	})).toMatchSnapshot();
});

test('a worker on which all jobs fail is ejected, probed with one job at a time, and restored', () => {
	const node = createTestNode({maximumAttempts: 20, maximumRetryTokens: 100});
	const bad = createMinion({minion: toMinion('bad'), worker: toWorker('bad')});
	node.send({type: 'jobs/minionsChanged', minions: [createMinion(), bad]});
	for (let index = 0; index < 16; index += 1) {
		const job = toJob(`job-${index}`);
		node.send({type: 'jobs/submitted', spec: createSpec({job})});
	}

	const onBad = [...node.getState().reservations.values()].filter(({minion}) => minion === 'bad');
	const effects = onBad.slice(0, 5).flatMap(({job, attempt}) => node.send({
		type: 'jobs/attemptFailed', job, attempt, bytesSent: false, kind: 'connectRefused',
	}));
	expect(effects).toContainEqual({
		type: 'jobs/decision',
		decision: {
			kind: 'workerEjected', worker: 'bad', failuresCounted: 5, untilMs: 5000,
		},
	});
	for (const {job, attempt} of onBad.slice(5)) {
		node.send({
			type: 'jobs/attemptFailed', job, attempt, bytesSent: false, kind: 'connectRefused',
		});
	}

	node.advance(5000);
	const probes = node.send({type: 'jobs/tick'}).filter(({type}) => type === 'jobs/dispatch');
	expect(probes).toEqual([expect.objectContaining({minion: 'bad'})]);
	const probe = [...node.getState().reservations.values()].find(({minion}) => minion === 'bad');
	expect(probe && node.send({
		type: 'jobs/answered', job: probe.job, attempt: probe.attempt, status: 200,
	})).toContainEqual({
		type: 'jobs/decision',
		decision: {kind: 'workerRestored', worker: 'bad', failuresCounted: 8},
	});
	expect(node.getState().pools.get(toPool('counters'))?.heldSlots).toBe(16);
});

test('urgent jobs go ahead only within the fair share of their team', () => {
	const node = createTestNode();
	const [large, small] = [toTeam('large'), toTeam('small')];
	node.send({type: 'jobs/minionsChanged', minions: [createMinion({heldSlots: 4})]});
	const submit = (job: string, changes: Partial<JobSpec>) => {
		node.send({type: 'jobs/submitted', spec: createSpec({job: toJob(job), ...changes})});
	};

	for (let index = 0; index < 4; index += 1) {
		submit(`first-${index}`, {team: large});
	}

	for (let index = 0; index < 4; index += 1) {
		submit(`urgent-${index}`, {team: large, urgency: 'urgent'});
		submit(`small-${index}`, {team: small});
	}

	const started = [0, 1, 2, 3].flatMap(index => node.send({
		type: 'jobs/answered', job: toJob(`first-${index}`), attempt: 1, status: 200,
	})).flatMap(effect => effect.type === 'jobs/dispatch' ? [effect.job] : []);
	// The fair share of each team is two of the four slots.
	expect(started).toEqual(['urgent-0', 'urgent-1', 'small-0', 'small-1']);
});

test('mass cancellation refuses waiting jobs with ran no, and does not free the slot of a running job', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion({heldSlots: 1})]});
	const jobs = Array.from({length: 1000}, (_, index) => toJob(`job-${index}`));
	for (const job of jobs) {
		node.send({type: 'jobs/submitted', spec: createSpec({job})});
	}

	const outcomes = jobs.flatMap(job => node.send({type: 'jobs/cancelRequested', job}))
		.flatMap(effect => effect.type === 'jobs/finish' && effect.outcome.type === 'refused' ? [effect.outcome.ran] : []);
	expect(outcomes).toEqual(['maybe', ...Array.from({length: 999}, () => 'no')]);
	node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('next')})});
	expect(node.getState().reservations.has('next#1')).toBe(false);
	node.send({type: 'jobs/slotFreed', job: toJob('job-0'), attempt: 1});
	expect(node.getState().reservations.has('next#1')).toBe(true);
});

test('teams whose jobs do not fit do not block other teams', () => {
	const node = createTestNode();
	node.send({type: 'jobs/minionsChanged', minions: [createMinion()]});
	node.send({
		type: 'jobs/submitted', spec: createSpec({declared: {cores: 20, memoryMb: 1, runTimeMs: 1}}),
	});
	const declared = {cores: 32, memoryMb: 1, runTimeMs: 1};
	for (let index = 0; index < 9; index += 1) {
		const spec = createSpec({job: toJob(`large-${index}`), team: toTeam(`large-${index}`), declared});
		node.send({type: 'jobs/submitted', spec});
	}

	const effects = node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('small'), team: toTeam('small')})});
	expect(effects).toContainEqual(expect.objectContaining({type: 'jobs/dispatch', job: 'small'}));
});

test('a job that needs a whole worker is placed despite a continuous flow of small jobs', () => {
	const node = createTestNode();
	const other = createMinion({minion: toMinion('minion-2'), worker: toWorker('worker-2')});
	node.send({type: 'jobs/minionsChanged', minions: [createMinion(), other]});
	const small = {cores: 4, memoryMb: 1, runTimeMs: 1};
	const running: JobId[] = [];
	const take = (effects: readonly JobsEffect[]) => {
		running.push(...effects.flatMap(effect => effect.type === 'jobs/dispatch' ? [effect.job] : []));
	};

	const submitSmall = (index: number) => {
		const spec = createSpec({
			job: toJob(`small-${index}`), declared: small, deadlineAtMs: toMs(node.getNowMs() + 600_000),
		});
		take(node.send({type: 'jobs/submitted', spec}));
	};

	for (let index = 0; index < 24; index += 1) {
		submitSmall(index);
	}

	const large = {cores: 32, memoryMb: 1, runTimeMs: 1};
	take(node.send({type: 'jobs/submitted', spec: createSpec({job: toJob('large'), team: toTeam('large'), declared: large})}));
	for (let index = 24; index < 224 && !running.includes(toJob('large')); index += 1) {
		node.advance(100);
		submitSmall(index);
		take(node.send({
			type: 'jobs/answered', job: running.shift() ?? toJob('none'), attempt: 1, status: 200,
		}));
	}

	expect(running).toContain('large');
	expect(node.getNowMs()).toBeLessThan(20_000);
});

test('when capacity is lost, waiting jobs that can no longer start in time are refused at the next tick', () => {
	const node = createTestNode();
	const other = createMinion({minion: toMinion('minion-2'), worker: toWorker('worker-2')});
	node.send({type: 'jobs/minionsChanged', minions: [createMinion(), other]});
	for (let index = 0; index < 16; index += 1) {
		node.send({type: 'jobs/submitted', spec: createSpec({job: toJob(`past-${index}`)})});
	}

	node.advance(1000);
	for (let index = 0; index < 16; index += 1) {
		node.send({
			type: 'jobs/answered', job: toJob(`past-${index}`), attempt: 1, status: 200,
		});
	}

	for (let index = 0; index < 176; index += 1) {
		const deadlineAtMs = toMs(node.getNowMs() + 20_000);
		node.send({type: 'jobs/submitted', spec: createSpec({job: toJob(`job-${index}`), deadlineAtMs})});
	}

	expect(node.send({type: 'jobs/tick'}).filter(({type}) => type === 'jobs/finish')).toEqual([]);
	node.send({type: 'jobs/minionsChanged', minions: [createMinion({heldSlots: 2})]});
	const refused = node.send({type: 'jobs/tick'}).flatMap(effect => effect.type === 'jobs/finish' ? [effect] : []);
	// In 1.5 times the remaining 20 seconds, two slots run at most 2 * 20 * 1.5 jobs of one second each.
	expect(refused.length).toBeGreaterThanOrEqual(160 - 60);
	expect(refused[0]?.spec.job).toBe('job-175');
	expect(refused[0]?.outcome).toMatchObject({reason: 'deadlineTooNear', ran: 'no'});
	expect(node.getState().jobs.has(toJob('job-16'))).toBe(true);
});
