/**
 * Simulates the entry hosts of one data centre, their network, and a leader that commits views, in virtual time.
 */
import {
	createSeededRandom, toBrand, type DataCentreId, type JobId, type MinionId, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import type {JobOutcome} from '../jobs/types.js';
import {
	createClaimName, createClaimsState, hasAllRecords, reduceClaims, type ClaimRecord, type ClaimsEffect, type ClaimsEvent, type ClaimsMessage, type ClaimsState, type ClaimView,
} from './index.js';

const stepMs = 50;
const configurationLeaseMs = 2000;
const runTimeMs = 400;
const formationMs = 3500;
const longestLeaveMs = 2000;
const lostAttemptRate = 0.3;
const dataCentre = toBrand<DataCentreId>('recife');

type NetworkMessage = {
	readonly dueMs: number;
	readonly from: NodeId;
	readonly to: NodeId;
	readonly message: ClaimsMessage;
};

type ClusterNode = {
	readonly id: NodeId;
	readonly state: ClaimsState;
	readonly isUp: boolean;
	readonly isCutOff: boolean;
	readonly confirmedAtMs: number;
	readonly running: ReadonlyArray<{readonly job: JobId; readonly endsAtMs: number}>;
	/** The records that a planned stop left on disk. */
	readonly keptRecords: readonly ClaimRecord[] | undefined;
	/** When a leaving node ends at the latest. */
	readonly endsAtMs: number | undefined;
};

/** The answers to callers, and the dispatched jobs. */
export type ClusterReport = {
	readonly dispatches: ReadonlyArray<{readonly name: string; readonly job: JobId; readonly node: NodeId; readonly atMs: number}>;
	readonly answers: ReadonlyArray<{readonly job: JobId; readonly type: string}>;
};

/** Controls the callers, the network and the leader of the simulated cluster. */
export type ClaimsCluster = {
	readonly submit: (options: {readonly node: number; readonly key: string; readonly body: string}) => JobId;
	/** Ends a granted job before it requests its start, as when no owner answers in time. */
	readonly abortBeforeStart: (node: number, job: JobId) => void;
	/** Removes a job from the node's state without a report to the owner. */
	readonly forgetJob: (node: number, job: JobId) => void;
	/** Sets whether granted jobs request their start. */
	readonly setStartsJobs: (isStarting: boolean) => void;
	/** Sets whether a job is refused as not run once its start is recorded, as when too little time is left to send it. */
	readonly setWithholdsJobs: (isWithholding: boolean) => void;
	readonly advance: (durationMs: number) => void;
	readonly setCutOff: (node: number, isCutOff: boolean) => void;
	readonly crash: (node: number) => void;
	/** Ends a node by a planned stop. It keeps its records, unless it has not recovered them yet. */
	readonly stop: (node: number) => void;
	/** Begins a planned stop. The node ends once the others have what it held, or after a while. */
	readonly leave: (node: number) => void;
	/** Starts a node that is down; one that is leaving ends first. */
	readonly restart: (node: number) => void;
	/** Commits a view of the nodes that are up and reachable. */
	readonly commitView: () => void;
	readonly getReport: () => ClusterReport;
	readonly getState: (node: number) => ClaimsState;
};

/**
 * Creates a cluster with all nodes up under the view of epoch 1.
 *
 * @param options - `lossRate` and `duplicateRate` are the fractions of messages that are lost or duplicated.
 */
export function createClaimsCluster({nodeCount, seed, lossRate, duplicateRate}: {
	readonly nodeCount: number;
	readonly seed: number;
	readonly lossRate: number;
	readonly duplicateRate: number;
}): ClaimsCluster {
	const random = createSeededRandom(seed);
	const ids = Array.from({length: nodeCount}, (_, index) => toBrand<NodeId>(`node-${index}`));
	let nowMs = 0;
	let nextJob = 0;
	let startsJobs = true;
	let withholdsJobs = false;
	let inFlight: readonly NetworkMessage[] = [];
	let committed: ClaimView = {dataCentre, epoch: 1, members: ids};
	let report: ClusterReport = {dispatches: [], answers: []};
	const nodes = new Map<NodeId, ClusterNode>(ids.map(id => [id, {
		id, state: createClaimsState(id, dataCentre), isUp: true, isCutOff: false, confirmedAtMs: 0, running: [], keptRecords: undefined, endsAtMs: undefined,
	}]));

	const getNow = () => toBrand<MonotonicMs>(nowMs);
	const getNode = (id: NodeId): ClusterNode => {
		const node = nodes.get(id);
		if (node === undefined) {
			throw new Error(`no node ${id}`);
		}

		return node;
	};

	const isConnected = (from: NodeId, to: NodeId) => from === to || getNode(from).isCutOff === getNode(to).isCutOff;

	const send = (from: NodeId, to: NodeId, message: ClaimsMessage) => {
		const delay = () => from === to ? 0 : 1 + (random() * 120);
		if (from !== to && random() < lossRate) {
			return;
		}

		const copies = from !== to && random() < duplicateRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			inFlight = [...inFlight, {
				dueMs: nowMs + delay(), from, to, message,
			}];
		}
	};

	const applyEffect = (id: NodeId, effect: ClaimsEffect) => {
		switch (effect.type) {
			case 'peer/send': {
				send(id, effect.to, effect.message);
				return;
			}

			case 'claims/persist': {
				const {name, version} = effect.record;
				handle(id, {
					type: 'claims/persisted', name, version, nowMs: getNow(),
				});
				return;
			}

			case 'claims/answered': {
				report = {...report, answers: [...report.answers, {job: effect.job, type: effect.answer.type}]};
				if (effect.answer.type === 'granted' && startsJobs) {
					handle(id, {
						type: 'claims/starting', job: effect.job, attempt: 1, minion: toBrand<MinionId>('minion-1'), nowMs: getNow(),
					});
				}

				return;
			}

			case 'claims/startRecorded': {
				if (effect.ok && withholdsJobs) {
					handle(id, {
						type: 'claims/ended', job: effect.job, outcome: {type: 'refused', reason: 'deadlineTooNear', ran: 'no'}, nowMs: getNow(),
					});
				} else if (effect.ok) {
					dispatch(id, effect.job);
				}
			}
		}
	};

	const dispatch = (id: NodeId, job: JobId) => {
		const node = getNode(id);
		const name = node.state.active.get(job)?.name ?? 'unknown';
		report = {
			...report, dispatches: [...report.dispatches, {
				name, job, node: id, atMs: nowMs,
			}],
		};
		nodes.set(id, {...node, running: [...node.running, {job, endsAtMs: nowMs + runTimeMs}]});
	};

	const handle = (id: NodeId, event: ClaimsEvent) => {
		const node = getNode(id);
		if (!node.isUp) {
			return;
		}

		const {state, effects} = reduceClaims(node.state, event, {hasStore: nodeCount === 1});
		nodes.set(id, {...node, state});
		for (const effect of effects) {
			applyEffect(id, effect);
		}
	};

	const learnView = (id: NodeId, isRestart: boolean) => {
		const {views} = getNode(id).state;
		const former = views.get(dataCentre);
		if (former?.epoch === committed.epoch) {
			return;
		}

		handle(id, {
			type: 'claims/viewChanged', view: committed, isRestart, nowMs: getNow(),
		});
		const removed = (former?.members ?? []).filter(member => !committed.members.includes(member));
		for (const node of removed) {
			handle(id, {type: 'claims/nodeLost', node, nowMs: getNow()});
		}
	};

	const confirm = (id: NodeId) => {
		const node = getNode(id);
		if (!node.isUp) {
			return;
		}

		if (!node.isCutOff) {
			nodes.set(id, {...node, confirmedAtMs: nowMs});
			learnView(id, false);
		}

		const isFresh = nowMs - getNode(id).confirmedAtMs < configurationLeaseMs;
		handle(id, {type: 'claims/freshnessChanged', isFresh, nowMs: getNow()});
	};

	/** Creates an answer, or for some attempts a loss after the first byte. */
	const createOutcome = (): JobOutcome => random() < lostAttemptRate
		? {type: 'refused', reason: 'attemptLost', ran: 'maybe'}
		: {type: 'answered', minion: toBrand<MinionId>('minion-1'), status: 200};

	const finishJobs = (id: NodeId) => {
		const node = getNode(id);
		const ended = node.running.filter(({endsAtMs}) => endsAtMs <= nowMs);
		nodes.set(id, {...node, running: node.running.filter(({endsAtMs}) => endsAtMs > nowMs)});
		for (const {job} of ended) {
			handle(id, {
				type: 'claims/ended', job, outcome: createOutcome(), nowMs: getNow(),
			});
		}
	};

	const takeDueMessages = (): readonly NetworkMessage[] => {
		const due = inFlight.filter(({dueMs}) => dueMs <= nowMs);
		inFlight = inFlight.filter(({dueMs}) => dueMs > nowMs);
		return due;
	};

	const deliver = () => {
		for (let due = takeDueMessages(); due.length > 0; due = takeDueMessages()) {
			for (const {from, to, message} of due.filter(entry => isConnected(entry.from, entry.to))) {
				handle(to, {
					type: 'peer/received', from, message, nowMs: getNow(),
				});
			}
		}
	};

	const stopNode = (id: NodeId) => {
		const node = getNode(id);
		if (node.isUp) {
			const keptRecords = hasAllRecords(node.state) ? [...node.state.records.values()] : undefined;
			nodes.set(id, {
				...node, isUp: false, running: [], keptRecords, endsAtMs: undefined,
			});
		}
	};

	const endLeaves = () => {
		for (const {id, state, endsAtMs} of nodes.values()) {
			if (endsAtMs !== undefined && (nowMs >= endsAtMs || state.awaitedLeaveConfirmations.length === 0)) {
				stopNode(id);
			}
		}
	};

	const step = () => {
		nowMs += stepMs;
		endLeaves();
		for (const id of ids) {
			confirm(id);
			finishJobs(id);
			handle(id, {type: 'claims/tick', nowMs: getNow()});
		}

		deliver();
	};

	const idAt = (index: number) => ids[index % ids.length] ?? toBrand<NodeId>('none');

	// The members of the first view request each other's records before they answer.
	for (let passedMs = 0; passedMs < formationMs; passedMs += stepMs) {
		step();
	}

	return {
		submit({node, key, body}) {
			const job = toBrand<JobId>(`job-${nextJob}`);
			nextJob += 1;
			handle(idAt(node), {
				type: 'claims/wanted',
				job,
				name: createClaimName(toBrand('team-1'), key),
				bodyHash: body,
				isFirstSend: false,
				nowMs: getNow(),
			});
			deliver();
			return job;
		},
		abortBeforeStart(node, job) {
			handle(idAt(node), {
				type: 'claims/ended', job, outcome: {type: 'refused', reason: 'ownerUnreachable', ran: 'maybe'}, nowMs: getNow(),
			});
			deliver();
		},
		forgetJob(node, job) {
			const known = getNode(idAt(node));
			nodes.set(known.id, {...known, running: [], state: {...known.state, active: known.state.active.delete(job)}});
		},
		setStartsJobs(isStarting) {
			startsJobs = isStarting;
		},
		setWithholdsJobs(isWithholding) {
			withholdsJobs = isWithholding;
		},
		advance(durationMs) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				step();
			}
		},
		setCutOff(node, isCutOff) {
			nodes.set(idAt(node), {...getNode(idAt(node)), isCutOff});
		},
		crash(node) {
			nodes.set(idAt(node), {
				...getNode(idAt(node)), isUp: false, running: [], keptRecords: undefined, endsAtMs: undefined,
			});
		},
		stop(node) {
			stopNode(idAt(node));
		},
		leave(node) {
			const leaving = getNode(idAt(node));
			if (leaving.isUp && leaving.endsAtMs === undefined) {
				nodes.set(leaving.id, {...leaving, endsAtMs: nowMs + longestLeaveMs});
				handle(leaving.id, {type: 'claims/leaving', nowMs: getNow()});
			}
		},
		restart(node) {
			const id = idAt(node);
			if (getNode(id).endsAtMs !== undefined) {
				stopNode(id);
			}

			if (getNode(id).isUp) {
				return;
			}

			nodes.set(id, {
				...getNode(id), state: createClaimsState(id, dataCentre), isUp: true, confirmedAtMs: nowMs,
			});
			for (const other of ids) {
				handle(other, {type: 'claims/nodeLost', node: id, nowMs: getNow()});
			}

			const {keptRecords} = getNode(id);
			handle(id, {
				type: 'claims/restored', records: keptRecords ?? [], isComplete: keptRecords !== undefined, nowMs: getNow(),
			});
			learnView(id, true);
		},
		commitView() {
			const members = ids.filter(id => getNode(id).isUp && !getNode(id).isCutOff);
			const isSame = members.length === committed.members.length && members.every(member => committed.members.includes(member));
			if (members.length > 0 && !isSame) {
				committed = {dataCentre, epoch: committed.epoch + 1, members};
			}
		},
		getReport: () => report,
		getState: node => getNode(idAt(node)).state,
	};
}
