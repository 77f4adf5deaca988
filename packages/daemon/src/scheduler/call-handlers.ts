/**
 * Handles the calls of callers, minions, operators and control hosts to the leader.
 */
import {
	type JobId, type TeamId, type TimerService,
} from '@samphiremill/common';
import {
	countPendingJobs, getPublicJobState, getOccurrenceWork, getQueuePlace, isCancelledEarly, isJobId, isSameAmount, isWaveCompleted, mayAccessJob,
	type AdmissionRefusalReason, type Job, type JobCaller, type JobSpecification, type Ledger, type LedgerCommand, type MinionRecord,
} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import type {ProposalResult} from './command-batcher.js';
import {
	maximumReplacedLosses, maximumStartAheadMs, storeFullRetryMs,
} from './constants.js';
import type {DemandMeter} from './demand-meter.js';
import {createDepartures} from './departures.js';
import type {EndedIncarnations} from './ended-incarnations.js';
import {createAcceptedJob, checkAccess, type GrantedAccess} from './job-access.js';
import type {SchedulerMetrics} from './metrics.js';
import type {SchedulerPolicy} from './policy.js';
import type {PoolView} from './pool-view.js';
import type {ReportedIncarnations} from './reported-incarnations.js';
import type {SessionRegistry} from './session-registry.js';
import type {
	CallerTarget, ClusterAnswer, ClusterCall, ConfigurationFinding, MinionReport, SeenReport,
} from './types.js';

/** Dependencies of the handlers. */
export type CallHandlersOptions = {
	readonly term: number;
	readonly log: StructuredLogger;
	readonly timers: TimerService;
	readonly metrics: SchedulerMetrics;
	readonly sessions: SessionRegistry;
	readonly demand: DemandMeter;
	readonly pools: PoolView;
	readonly admitJob: SchedulerPolicy['admitJob'];
	readonly getLedger: () => Ledger;
	readonly getWallClock: () => number;
	/** Whether a minion has confirmed a run of the job. */
	readonly isStartConfirmed: (job: Job) => boolean;
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	readonly endedIncarnations: EndedIncarnations;
	readonly reportedIncarnations: ReportedIncarnations;
	readonly checkConfiguration: (document: string) => readonly ConfigurationFinding[];
	readonly requestPlan: () => void;
	readonly stopUnneededRuns: () => void;
	/** Called after minions joined or left. */
	readonly onChanged: () => void;
};

/** What a caller is told who submits a job that was cancelled before. */
const cancelledEarly: ClusterAnswer = {type: 'invalidRequest', message: 'the job was cancelled before it was accepted; choose another id'};

/** Returns what a caller is told whose request did not take effect for certain. */
const toFailure = (decision: ProposalResult): ClusterAnswer => {
	if (decision.type === 'unknown') {
		return {type: 'uncertain'};
	}

	return decision.type === 'tooLarge'
		? {type: 'invalidRequest', message: 'the request is too large to be stored'}
		: {type: 'unavailable'};
};

// The ledger removes such an incarnation when the new one joins.
const isReplacedBy = (known: MinionRecord, record: MinionRecord) => known.bornAtMs <= record.bornAtMs
	&& (known.minion === record.minion || known.worker === record.worker || known.address === record.address);

/** Creates the function that answers calls to one leader. */
export function createCallHandlers({term, timers, log, metrics, sessions, demand, pools, admitJob, getLedger, getWallClock, isStartConfirmed, propose, commit, endedIncarnations, reportedIncarnations, checkConfiguration, requestPlan, stopUnneededRuns, onChanged}: CallHandlersOptions): (call: ClusterCall) => Promise<ClusterAnswer> {
	/** Submissions that are being decided. A resent job gets the answer of the first submission, so that it is not both accepted and refused. */
	const submitting = new Map<JobId, {readonly team: TeamId | undefined; readonly answer: Promise<ClusterAnswer>}>();

	// The job may be another team's, which chose the same id.
	const answerForStored = (job: Job, caller: JobCaller): ClusterAnswer => mayAccessJob(caller, job)
		? {type: 'accepted'}
		: {type: 'invalidRequest', message: 'the job id is in use; choose another one'};

	const submitJob = async (call: ClusterCall & {type: 'job/submit'}): Promise<ClusterAnswer> => {
		const access = checkAccess(getLedger(), call.target);
		if (access.type === 'denied') {
			return access.answer;
		}

		const {found: {rest: id, queue}, team, caller} = access;
		if (!isJobId(id)) {
			return {type: 'invalidRequest', message: `"${id}" is not a job id of 16 hexadecimal digits`};
		}

		const job = getLedger().jobs.get(id);
		if (job !== undefined) {
			return answerForStored(job, caller);
		}

		if (isCancelledEarly(getLedger(), {id, team: team?.team, place: getQueuePlace(queue)})) {
			return cancelledEarly;
		}

		const known = submitting.get(id);
		if (known !== undefined && known.team === team?.team) {
			return known.answer;
		}

		if (known !== undefined) {
			await known.answer;
			return submitJob(call);
		}

		const answer = admit(id, access, call.specification);
		submitting.set(id, {team: team?.team, answer});
		try {
			return await answer;
		} finally {
			submitting.delete(id);
		}
	};

	const admit = async (id: JobId, {found: {queue}, team, caller, configuration}: GrantedAccess, specification: JobSpecification): Promise<ClusterAnswer> => {
		const work = getOccurrenceWork(specification);
		demand.recordJob(queue.pool, {id, work});
		const load = pools.getLoad(queue.pool, {team, work, hasAdvice: queue.advice !== undefined});
		const admission = admitJob(specification, queue, load);
		const inputs = {
			id,
			queue: queue.queue,
			pool: queue.pool,
			team: team?.team,
			expectedMs: Math.round(admission.expectedMs),
			workCoreMs: Math.round(work / 1000),
			workAheadCoreMs: Math.round(load.workAhead / 1000),
			storedBytes: load.storedBytes,
			adviceWaitMs: Math.round(load.adviceWaitMs),
			poolMillicores: load.cpuMillicores,
			configuration: configuration.version,
		};
		const refuse = (reason: AdmissionRefusalReason, retryAfterMs: number): ClusterAnswer => {
			metrics.count('jobs_refused_total', reason);
			log.info(`job ${id} refused: ${reason}`, {...inputs, reason, retryAfterMs: Math.round(retryAfterMs)});
			return {type: 'refused', reason, retryAfterMs};
		};

		if (admission.type === 'refused') {
			return refuse(admission.reason, admission.retryAfterMs);
		}

		const decision = await propose({
			type: 'job/accepted',
			term,
			job: createAcceptedJob({
				id, queue, team, specification, acceptedAtMs: getWallClock(),
			}),
			keepsBounds: true,
		});
		// Others were accepted in the meantime, or a cancel overtook the job.
		if (decision.type === 'applied' && decision.outcome?.type === 'jobRefused') {
			const {reason} = decision.outcome;
			if (reason === 'storeFull') {
				return refuse(reason, storeFullRetryMs);
			}

			log.info(`job ${id} refused: ${reason}`, {...inputs, reason});
			return cancelledEarly;
		}

		const job = decision.type === 'applied' ? getLedger().jobs.get(id) : undefined;
		const answer = job && answerForStored(job, caller);
		log.info(`job ${id}: ${answer?.type ?? decision.type}`, inputs);
		if (answer === undefined) {
			return toFailure(decision);
		}

		if (answer.type === 'accepted') {
			metrics.count('jobs_accepted_total');
			requestPlan();
		}

		return answer;
	};

	const findOwnJob = (target: CallerTarget): {readonly job: Job} | {readonly answer: ClusterAnswer} => {
		const access = checkAccess(getLedger(), target);
		if (access.type === 'denied') {
			return {answer: access.answer};
		}

		const {found: {queue, rest}, caller} = access;
		if (rest === '') {
			return {answer: {type: 'pendingJobs', count: countPendingJobs(getLedger(), {queue, isStartConfirmed})}};
		}

		const job = isJobId(rest) ? getLedger().jobs.get(rest) : undefined;
		// Another team must not learn that the job exists.
		return job === undefined || !mayAccessJob(caller, job)
			? {answer: {type: 'unknownJob'}}
			: {job};
	};

	const readJob = ({target}: ClusterCall & {type: 'job/read'}): ClusterAnswer => {
		const found = findOwnJob(target);
		return 'answer' in found ? found.answer : {type: 'jobState', state: getPublicJobState(found.job, isStartConfirmed(found.job))};
	};

	// The submission of a job that is not known may be under way, so the answer that there is none has to bind it: it is given once the log has the cancel.
	const cancelJob = async ({target}: ClusterCall & {type: 'job/cancel'}): Promise<ClusterAnswer> => {
		const access = checkAccess(getLedger(), target);
		if (access.type === 'denied') {
			return access.answer;
		}

		const {found: {rest: id}, team, caller} = access;
		if (!isJobId(id)) {
			return {type: 'unknownJob'};
		}

		const known = getLedger().jobs.get(id);
		const decision = await propose({
			type: 'job/cancelled', id, atMs: getWallClock(), caller,
		});
		log.info(`job ${id}: cancellation ${decision.type}`, {id, state: known?.status ?? 'unknown', team: team?.team});
		if (decision.type !== 'applied') {
			return toFailure(decision);
		}

		const job = getLedger().jobs.get(id);
		// Another team must not learn that the job exists.
		if (job === undefined || !mayAccessJob(caller, job)) {
			return {type: 'unknownJob'};
		}

		metrics.count('jobs_cancelled_total');
		stopUnneededRuns();
		requestPlan();
		return {type: 'done'};
	};

	const replaceConfiguration = async ({document}: ClusterCall & {type: 'configuration/replace'}): Promise<ClusterAnswer> => {
		const findings = checkConfiguration(document);
		if (findings.length > 0) {
			const message = findings.map(({path, message: text}) => `${path}: ${text}`).join('\n');
			log.warn(`configuration refused: ${message}`, {findings: findings.length});
			return {type: 'invalidRequest', message};
		}

		const decision = await propose({type: 'configuration/replaced', document});
		log.info(`configuration: ${decision.type}`, {inForce: getLedger().configuration?.version, outcome: decision.type === 'applied' ? decision.outcome?.type : undefined});
		requestPlan();
		return decision.type === 'applied' ? {type: 'done'} : toFailure(decision);
	};

	const handleMinionReport = async (report: MinionReport): Promise<ClusterAnswer> => {
		const {record} = report;
		// Nothing is decided by the start of a known incarnation, while this host's time of day may have jumped back since.
		if (!getLedger().incarnations.has(record.life) && record.bornAtMs > getWallClock() + maximumStartAheadMs) {
			return {type: 'invalidRequest', message: 'born: lies too far in the future'};
		}

		// The report that it joined with came from another writer. It has not ended, so a later report is not outdated.
		if (await reportedIncarnations.isAtOtherAddress(record)) {
			log.warn(`minion ${record.minion} joined with another address than it answers at`, {minion: record.minion, life: record.life, address: record.address});
			await commit({type: 'minion/left', term, life: record.life});
			onChanged();
		}

		if (!getLedger().incarnations.has(record.life)) {
			if (endedIncarnations.has(record.life)) {
				log.info(`ignored a late report of an ended incarnation of minion ${record.minion}`, {minion: record.minion, life: record.life, worker: record.worker});
				return {type: 'done'};
			}

			if (!await reportedIncarnations.mayJoin(record)) {
				return {type: 'done'};
			}

			const earlierSessions = [...sessions.values()].filter(({record: known}) => known.minion === record.minion && known.address === record.address && known.bornAtMs < record.bornAtMs);
			await Promise.all(earlierSessions.map(async session => session.handleNextIncarnation()));
			const losses = [...sessions.values()]
				.filter(({record: known}) => isReplacedBy(known, record))
				.slice(0, maximumReplacedLosses)
				.map(({record: known, loss}) => ({...loss.describe(), life: known.life}));
			const isJoined = await commit({
				type: 'minion/joined', term, record, ...(losses.length > 0 && {losses}),
			});
			if (!isJoined) {
				return {type: 'unavailable'};
			}

			// The ledger ignores an incarnation beside one that started later.
			if (!getLedger().incarnations.has(record.life)) {
				return {type: 'done'};
			}

			log.info(`minion ${record.minion} joined pool ${record.pool}`, {
				minion: record.minion, life: record.life, pool: record.pool, worker: record.worker, address: record.address, rack: record.rack,
			});
			onChanged();
		}

		if (report.isDraining && getLedger().incarnations.get(record.life)?.isDraining === false) {
			// Committed, so that a later leader knows it before the minion reports to that leader.
			const isDrainCommitted = await commit({type: 'minion/draining', term, life: record.life});
			if (!isDrainCommitted) {
				return {type: 'unavailable'};
			}

			log.info(`minion ${record.minion} is draining`, {minion: record.minion, life: record.life, remainingMs: report.remainingMs});
		}

		if (!await updateCapacity(report)) {
			return {type: 'unavailable'};
		}

		sessions.get(record.life)?.recordReport(report);
		return {type: 'done'};
	};

	const recordSeenReports = (reports: readonly SeenReport[]): ClusterAnswer => {
		for (const {life, sequence, ageMs} of reports) {
			sessions.get(life)?.recordReport({sequence, ageMs});
		}

		return {type: 'done'};
	};

	// Resolves to whether the ledger holds the reported capacity, or a later report overtook this one.
	const updateCapacity = async (report: MinionReport): Promise<boolean> => {
		const {life, minion, capacity} = report.record;
		const known = getLedger().incarnations.get(life)?.record.capacity;
		if (known === undefined || isSameAmount(known, capacity) || sessions.get(life)?.isOutdated(report) === true) {
			return true;
		}

		const isCommitted = await commit({
			type: 'minion/resized', term, life, capacity, sequence: report.sequence,
		});
		log.info(`minion ${minion} reports another capacity`, {
			minion, life, before: known, capacity, isCommitted,
		});
		requestPlan();
		return isCommitted;
	};

	const completeDeparture = createDepartures({
		term, timers, log, getLedger, commit, onChanged,
	});

	const handleMinionLeave = async ({minion, bornAtMs}: ClusterCall & {type: 'minion/leave'}): Promise<ClusterAnswer> => {
		const leaving = [...sessions.values()].filter(({record}) => record.minion === minion && (bornAtMs === undefined || record.bornAtMs === bornAtMs));
		for (const session of leaving) {
			const {life} = session.record;
			// Without `bornAtMs` the call may come from an earlier incarnation, so this one has not ended for certain.
			if (bornAtMs !== undefined) {
				endedIncarnations.markEnded(life);
			}

			const mayEnd = await completeDeparture(session); // eslint-disable-line no-await-in-loop -- rarely more than one
			if (!mayEnd) {
				return {type: 'unavailable'};
			}
		}

		onChanged();
		return {type: 'done'};
	};

	const startMaintenanceWave = async ({wave, durationMs}: ClusterCall & {type: 'wave/start'}): Promise<ClusterAnswer> => {
		const startedAtMs = getWallClock();
		const decision = await propose({type: 'wave/started', wave: {...wave, startedAtMs, dueAtMs: startedAtMs + durationMs}});
		log.info(`wave ${wave.wave}: ${decision.type}`, {
			wave: wave.wave, workers: wave.workers, maximumAtOnce: wave.maximumAtOnce, durationMs,
		});
		return decision.type === 'applied' ? {type: 'done'} : toFailure(decision);
	};

	const readMaintenanceWave = ({wave}: ClusterCall & {type: 'wave/read'}): ClusterAnswer => {
		const known = getLedger().waves.get(wave);
		return known === undefined ? {type: 'unknownWave'} : {type: 'waveState', isCompleted: isWaveCompleted(known)};
	};

	const joinHost = async ({node, storeId}: ClusterCall & {type: 'host/join'}): Promise<ClusterAnswer> => {
		if (getLedger().controlHosts.get(node)?.storeId === storeId) {
			return {type: 'done'};
		}

		log.info(`control host ${node} joins`, {node, storeId});
		const isCommitted = await commit({type: 'controlHost/joined', record: {node, storeId}});
		return {type: isCommitted ? 'done' : 'unavailable'};
	};

	const readConfiguration = (): ClusterAnswer => {
		const {configuration} = getLedger();
		return configuration === undefined ? {type: 'noConfiguration'} : {type: 'configuration', document: configuration.document};
	};

	const readLimits = (): ClusterAnswer => {
		const {configuration} = getLedger();
		return configuration === undefined ? {type: 'noConfiguration'} : {type: 'limits', limits: configuration.limits};
	};

	return async call => {
		switch (call.type) {
			case 'job/submit': {
				return submitJob(call);
			}

			case 'job/read': {
				return readJob(call);
			}

			case 'job/cancel': {
				return cancelJob(call);
			}

			case 'configuration/replace': {
				return replaceConfiguration(call);
			}

			case 'configuration/read': {
				return readConfiguration();
			}

			case 'minion/report': {
				return handleMinionReport(call.report);
			}

			case 'minion/reportsSeen': {
				return recordSeenReports(call.reports);
			}

			case 'minion/leave': {
				return handleMinionLeave(call);
			}

			case 'wave/start': {
				return startMaintenanceWave(call);
			}

			case 'wave/read': {
				return readMaintenanceWave(call);
			}

			case 'host/join': {
				return joinHost(call);
			}

			case 'limits/read': {
				return readLimits();
			}
		}
	};
}
