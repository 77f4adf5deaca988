/**
 * The callers of the simulation: consumers that submit and cancel jobs, the operator, and the reports of minions.
 */
import {
	toBrand, type JobId, type WaveId, type WorkerId,
} from '@samphiremill/common';
import {
	createIncarnationId, plainStep, type JobSpecification, type MinionRecord, type Schedule, type StepSpecification,
} from '@samphiremill/core';
import type {ClusterAnswer} from '../types.js';
import {
	host, key, otherTeam, pathPrefix, queue, team,
} from './constants.js';
import type {FakeFleet} from './minions.js';
import type {Simulation} from './simulation.js';
import type {Repetition, TestWorld} from './types.js';

/** The part of a simulation's public face that calls the leader. */
export type Callers = Pick<TestWorld, 'submit' | 'submitAgain' | 'cancel' | 'read' | 'replaceConfiguration' | 'reportFalsely' | 'repeatReport' | 'startWave' | 'isWaveCompleted'> & {
	/** Sends the reports of all minions that can send one. */
	readonly sendReports: () => void;
};

const wave = toBrand<WaveId>('1');
const waveDurationMs = 20_000;
const unavailable: ClusterAnswer = {type: 'unavailable'};
/** The answers after which a job never runs. */
const rejections: ReadonlySet<ClusterAnswer['type']> = new Set(['refused', 'invalidRequest', 'unknownQueue', 'unknownKey']);

/**
 * Creates the callers of a simulation.
 *
 * @param simulation - The shared state.
 * @param fleet - The minions.
 * @param standby - The standby workers, which are part of each wave.
 * @returns The callers.
 */
export function createCallers(simulation: Simulation, fleet: FakeFleet, standby: readonly WorkerId[]): Callers {
	const {minions, timers, faults, checks} = simulation;
	let nextJobNumber = 1;

	const getTarget = (id: JobId) => ({host, path: `${pathPrefix}${id}`, key});

	const createSchedule = ({firstDueInMs, intervalMs, count}: Repetition): Schedule => ({firstDueAtMs: Math.floor(simulation.getWallClock() + firstDueInMs), intervalMs, count});

	const submitJob = async (id: JobId, steps: ReadonlyArray<Partial<StepSpecification>>, {repetition, callerKey = key}: {readonly repetition?: Repetition | undefined; readonly callerKey?: string | undefined} = {}): Promise<ClusterAnswer> => {
		const specification: JobSpecification = {
			payload: 'x', steps: steps.map(step => ({...plainStep, ...step})), schedule: repetition && createSchedule(repetition),
		};
		simulation.specifications.set(id, simulation.specifications.get(id) ?? specification);
		checks.record({
			type: 'jobSubmitted', job: id, queue, team: callerKey === key ? team : otherTeam, specification,
		});
		const answer = await (simulation.leader?.answer({type: 'job/submit', target: {...getTarget(id), key: callerKey}, specification}) ?? unavailable);
		checks.record({type: 'jobAnswered', job: id, isRejected: rejections.has(answer.type)});
		return answer;
	};

	const cancelJob = async (id: JobId): Promise<ClusterAnswer> => {
		checks.record({type: 'cancelSent', job: id});
		const answer = await (simulation.leader?.answer({type: 'job/cancel', target: getTarget(id)}) ?? unavailable);
		// The answer that there is no such job confirms that none will run, too.
		if (answer.type === 'done' || answer.type === 'unknownJob') {
			checks.record({type: 'cancelConfirmed', job: id});
		}

		return answer;
	};

	const reportDraining = async (record: MinionRecord) => {
		const {type} = await report(record, {isDraining: true});
		if (type === 'done') {
			checks.record({type: 'drainingConfirmed', life: record.life});
		}
	};

	const report = async (record: MinionRecord, {isDraining = false, sequence = timers.getNow()}: {readonly isDraining?: boolean; readonly sequence?: number} = {}) =>
		simulation.leader?.answer({
			type: 'minion/report',
			report: {
				record, sequence, isDraining, remainingMs: undefined,
			},
		}) ?? unavailable;

	return {
		submit(steps, repetition) {
			const id = toBrand<JobId>(nextJobNumber.toString(16).padStart(16, '0'));
			nextJobNumber += 1;
			return {id, answer: submitJob(id, steps, {repetition})};
		},
		submitAgain: async (id, steps, callerKey) => submitJob(id, steps, {callerKey}),
		cancel: cancelJob,
		read: async id => simulation.leader?.answer({type: 'job/read', target: {host, path: `${pathPrefix}${id ?? ''}`, key}}) ?? unavailable,
		async replaceConfiguration(teamMaximumMillicores) {
			const {document, version} = simulation.addConfiguration(teamMaximumMillicores);
			const answer = await (simulation.leader?.answer({type: 'configuration/replace', document}) ?? unavailable);
			if (answer.type === 'done') {
				checks.record({type: 'configurationConfirmed', version});
			}

			return answer;
		},
		async reportFalsely(index, change) {
			const minion = fleet.findMinion(index);
			if (minion === undefined) {
				return unavailable;
			}

			const changed = {...minion.record, ...change};
			return report({...changed, life: createIncarnationId(changed.minion, changed.bornAtMs)});
		},
		async repeatReport(index, {cpuMillicores, sequence}) {
			const record = fleet.findMinion(index)?.record;
			return record === undefined
				? unavailable
				: report({...record, capacity: {...record.capacity, cpuMillicores}}, {sequence});
		},
		async startWave(workerCount, maximumAtOnce) {
			const members = [...minions.values()].slice(0, workerCount).map(({record}) => record.worker);
			checks.record({type: 'waveSent', wave, maximumAtOnce});
			const answer = await (simulation.leader?.answer({
				type: 'wave/start', wave: {wave, workers: [...members, ...standby], maximumAtOnce}, durationMs: waveDurationMs,
			}) ?? unavailable);
			if (answer.type === 'done') {
				checks.record({type: 'waveConfirmed', wave});
			}

			return answer;
		},
		async isWaveCompleted() {
			const state = await simulation.leader?.answer({type: 'wave/read', wave});
			return state?.type === 'waveState' && state.isCompleted;
		},
		sendReports() {
			for (const {record, isSilent, isDraining} of fleet.listMinions()) {
				if ((!isSilent || faults.reachableByReports.has(record.life)) && !faults.silentlyLeaving.has(record.life)) {
					void (isDraining ? reportDraining(record) : report(record));
				}
			}
		},
	};
}
