/**
 * Summaries between data centres. One reporter per data centre sends every other data centre the changes
 * since its last summary. The receiver forwards them to the peers in its own data centre. A node that
 * missed changes asks the sender for a complete summary.
 */
import {
	rankMembers, toBrand, type DataCentreId, type MonotonicMs, type NodeId, type WorkerId,
} from '@samphiremill/common';
import {Map as createMap, type Map as ImmutableMap} from 'immutable';
import type {Step} from '../step.js';
import {
	listLivePeers, listLocalMembers, type MembershipSend, type NodesState,
} from './nodes.js';
import type {
	FleetWorker, MembershipConfig, MembershipMessage, NodeSummary, SummaryStream, WorkerSummary,
} from './types.js';

type SummaryMessage = MembershipMessage & {type: 'membership/summary'};

type Versioned<Entry> = Entry & {readonly version: number};

/** The summary of the own data centre, as this node would report it. */
export type OwnSummary = {
	readonly version: number;
	readonly nodes: ImmutableMap<NodeId, Versioned<NodeSummary>>;
	readonly workers: ImmutableMap<WorkerId, Versioned<WorkerSummary>>;
};

/** The version and time of the last summary sent to another data centre. */
export type SentSummary = {
	readonly version: number;
	readonly sentAtMs: MonotonicMs;
};

/** The state of another data centre according to its reporter. */
export type RemoteSummary = {
	readonly stream: SummaryStream;
	readonly version: number;
	/** When the reporter's latest summary arrived in this data centre. */
	readonly lastSummaryAtMs: MonotonicMs;
	readonly nodes: ImmutableMap<NodeId, NodeSummary>;
	readonly workers: ImmutableMap<WorkerId, WorkerSummary>;
};

/** The summaries that were sent and received. */
export type SummariesState = {
	readonly own: OwnSummary;
	readonly sent: ImmutableMap<DataCentreId, SentSummary>;
	readonly remote: ImmutableMap<DataCentreId, RemoteSummary>;
	/** Counts the summaries sent. It selects the entry host to try in a data centre whose reporter is not known. */
	readonly sentCount: number;
};

type SummariesStep = Step<SummariesState, MembershipSend>;

/** Creates the state before any summary was sent or received. */
export function createSummariesState(): SummariesState {
	return {
		own: {version: 0, nodes: createMap(), workers: createMap()},
		sent: createMap(),
		remote: createMap(),
		sentCount: 0,
	};
}

function mergeEntries<Key extends string, Entry extends Record<string, unknown>>(
	known: ImmutableMap<Key, Versioned<Entry>>,
	{entries, version, getKey}: {
		readonly entries: readonly Entry[];
		readonly version: number;
		readonly getKey: (entry: Entry) => Key;
	},
): ImmutableMap<Key, Versioned<Entry>> {
	const changed = entries.filter(entry => {
		const old = known.get(getKey(entry));
		return old === undefined || Object.entries(entry).some(([name, value]) => Reflect.get(old, name) !== value);
	});
	return known.merge(changed.map((entry): [Key, Versioned<Entry>] => [getKey(entry), {...entry, version}]));
}

function updateOwnSummary(own: OwnSummary, nodes: readonly NodeSummary[], workers: readonly WorkerSummary[]): OwnSummary {
	const version = own.version + 1;
	const next = {
		version,
		nodes: mergeEntries(own.nodes, {entries: nodes, version, getKey: ({node}) => node}),
		workers: mergeEntries(own.workers, {entries: workers, version, getKey: ({worker}) => worker}),
	};
	return next.nodes === own.nodes && next.workers === own.workers ? own : next;
}

function listChangedSince<Entry>(entries: ImmutableMap<string, Versioned<Entry>>, base: number): ReadonlyArray<Omit<Versioned<Entry>, 'version'>> {
	return [...entries.values()].filter(({version}) => version > base).map(({version, ...entry}) => entry);
}

function createOwnSummary({own}: SummariesState, base: number, cfg: MembershipConfig): SummaryMessage {
	return {
		type: 'membership/summary',
		dataCentre: cfg.self.dataCentre,
		stream: {reporter: cfg.self.node, incarnation: cfg.incarnation},
		base,
		version: own.version,
		ageMs: 0,
		nodes: listChangedSince(own.nodes, base),
		workers: listChangedSince(own.workers, base),
	};
}

/** Returns the entry host of the own data centre that reports to other data centres, as seen by this node. */
export function getReporter(nodes: NodesState, cfg: MembershipConfig): NodeId {
	const candidates = nodes.isLeaving ? listLivePeers(nodes) : [cfg.self.node, ...listLivePeers(nodes)];
	return rankMembers(cfg.self.dataCentre, candidates)[0] ?? cfg.self.node;
}

/** Returns the reporter of a data centre with a fresh summary; for any other data centre, its entry hosts are tried in turn. */
function chooseReceiver(state: SummariesState, dataCentre: DataCentreId, {cfg, nowMs}: Context): NodeId | undefined {
	const remote = state.remote.get(dataCentre);
	if (remote !== undefined && isFresh(remote, cfg, nowMs)) {
		return remote.stream.reporter;
	}

	const candidates = cfg.addresses.filter(address => address.dataCentre === dataCentre);
	return candidates[state.sentCount % candidates.length]?.node;
}

type Context = {readonly cfg: MembershipConfig; readonly nowMs: MonotonicMs};

function isFresh(remote: RemoteSummary, cfg: MembershipConfig, nowMs: MonotonicMs): boolean {
	return nowMs - remote.lastSummaryAtMs < cfg.timings.summaryLifetimeMs;
}

/** Returns whether two periods have passed without a summary of the reporter, so that another one may replace it. */
function isReporterOverdue(remote: RemoteSummary, {timings}: MembershipConfig, nowMs: MonotonicMs): boolean {
	return nowMs - remote.lastSummaryAtMs >= 2 * timings.summaryPeriodMs;
}

function isSummaryDue(state: SummariesState, dataCentre: DataCentreId, {cfg: {timings}, nowMs}: Context): boolean {
	const sent = state.sent.get(dataCentre);
	if (sent === undefined) {
		return true;
	}

	const waitedMs = nowMs - sent.sentAtMs;
	return waitedMs >= timings.summaryPeriodMs || (sent.version < state.own.version && waitedMs >= timings.minimumSummaryGapMs);
}

function sendSummary(state: SummariesState, dataCentre: DataCentreId, context: Context): SummariesStep {
	const to = chooseReceiver(state, dataCentre, context);
	if (to === undefined) {
		return {state, effects: []};
	}

	const message = createOwnSummary(state, state.sent.get(dataCentre)?.version ?? 0, context.cfg);
	return {
		state: {
			...state,
			sentCount: state.sentCount + 1,
			sent: state.sent.set(dataCentre, {version: state.own.version, sentAtMs: context.nowMs}),
		},
		effects: [{type: 'peer/send', to, message}],
	};
}

function listOtherDataCentres({addresses, self}: MembershipConfig): readonly DataCentreId[] {
	return [...new Set(addresses.map(({dataCentre}) => dataCentre))].filter(dataCentre => dataCentre !== self.dataCentre);
}

/**
 * Updates the summary of the own data centre and, on the reporter, sends the summaries that are due to the
 * other data centres.
 *
 * @param options - `nodes` and `workers` are those of the own data centre.
 */
export function tickSummaries(state: SummariesState, {nodes, workers, cfg, nowMs}: Context & {
	readonly nodes: NodesState;
	readonly workers: readonly FleetWorker[];
}): SummariesStep {
	const nodeSummaries = listLocalMembers(nodes, cfg).map(({node, incarnation, health}) => ({node, incarnation, health}));
	const workerSummaries = workers.map(({worker, pool, condition}) => ({
		worker, pool, condition: condition === 'up' ? 'up' as const : 'silent' as const,
	}));
	const updated = {...state, own: updateOwnSummary(state.own, nodeSummaries, workerSummaries)};
	// A node that has just started does not know yet which other nodes could be the reporter.
	const isStarting = nowMs - nodes.startedAtMs < cfg.timings.suspectAfterMs;
	if (isStarting || getReporter(nodes, cfg) !== cfg.self.node) {
		// When this node becomes the reporter again, it starts with a complete summary.
		return {state: updated.sent.isEmpty() ? updated : {...updated, sent: createMap()}, effects: []};
	}

	let step: SummariesStep = {state: updated, effects: []};
	for (const dataCentre of listOtherDataCentres(cfg)) {
		if (isSummaryDue(step.state, dataCentre, {cfg, nowMs})) {
			const sent = sendSummary(step.state, dataCentre, {cfg, nowMs});
			step = {state: sent.state, effects: [...step.effects, ...sent.effects]};
		}
	}

	return step;
}

function isSameStream(left: SummaryStream, right: SummaryStream): boolean {
	return left.reporter === right.reporter && left.incarnation === right.incarnation;
}

/**
 * Returns whether the stream of a message replaces the known one. Another reporter replaces the known one
 * only once summaries of the known one are overdue, or if the other one reports it as dead, left or
 * unknown. Otherwise two nodes that both act as the reporter would replace each other with every message.
 * A restarted reporter replaces its lower incarnation.
 */
function isStreamReplaceable(remote: RemoteSummary, message: SummaryMessage, {cfg, nowMs}: Context): boolean {
	const {reporter, incarnation} = remote.stream;
	if (message.stream.reporter === reporter) {
		return message.stream.incarnation > incarnation;
	}

	const status = message.nodes.find(({node}) => node === reporter);
	return isReporterOverdue(remote, cfg, nowMs) || status === undefined || status.health === 'dead' || status.health === 'left';
}

function applySummary(known: RemoteSummary | undefined, message: SummaryMessage, nowMs: MonotonicMs): RemoteSummary {
	const {stream, version, base, ageMs, nodes, workers} = message;
	const start = base === 0 || known === undefined ? {nodes: createMap<NodeId, NodeSummary>(), workers: createMap<WorkerId, WorkerSummary>()} : known;
	const lastSummaryAtMs = toBrand<MonotonicMs>(Math.max(nowMs - ageMs, known !== undefined && isSameStream(known.stream, stream) ? known.lastSummaryAtMs : 0));
	return {
		stream,
		version,
		lastSummaryAtMs,
		nodes: start.nodes.merge(nodes.map((entry): [NodeId, NodeSummary] => [entry.node, entry])),
		workers: start.workers.merge(workers.map((entry): [WorkerId, WorkerSummary] => [entry.worker, entry])),
	};
}

type SummaryVerdict = 'apply' | 'missedPart' | 'ignore';

function assessSummary(known: RemoteSummary | undefined, message: SummaryMessage, context: Context): SummaryVerdict {
	if (known === undefined) {
		return message.base === 0 ? 'apply' : 'missedPart';
	}

	if (!isSameStream(known.stream, message.stream)) {
		if (message.base > 0) {
			return isReporterOverdue(known, context.cfg, context.nowMs) || message.stream.reporter === known.stream.reporter ? 'missedPart' : 'ignore';
		}

		return isStreamReplaceable(known, message, context) ? 'apply' : 'ignore';
	}

	if (message.version < known.version) {
		return 'ignore';
	}

	return message.base <= known.version ? 'apply' : 'missedPart';
}

/**
 * Applies a summary of another data centre. A summary from outside the own data centre is forwarded to
 * the peers. If changes before it were missed, it is not applied, and the sender is asked for a complete one.
 *
 * @param received - `peers` are the live entry hosts of the own data centre.
 */
export function receiveSummary(state: SummariesState, {from, message, peers, cfg, nowMs}: Context & {
	readonly from: NodeId;
	readonly message: SummaryMessage;
	readonly peers: readonly NodeId[];
}): SummariesStep {
	const known = state.remote.get(message.dataCentre);
	const verdict = message.dataCentre === cfg.self.dataCentre ? 'ignore' : assessSummary(known, message, {cfg, nowMs});
	if (verdict === 'ignore') {
		return {state, effects: []};
	}

	if (verdict === 'missedPart') {
		return {
			state,
			effects: [{type: 'peer/send', to: from, message: {type: 'membership/summaryRequest', dataCentre: message.dataCentre}}],
		};
	}

	const isFromOutside = cfg.addresses.find(({node}) => node === from)?.dataCentre !== cfg.self.dataCentre;
	return {
		state: {...state, remote: state.remote.set(message.dataCentre, applySummary(known, message, nowMs))},
		effects: isFromOutside ? peers.map(to => ({type: 'peer/send', to, message})) : [],
	};
}

/** Answers a request with the complete summary of a data centre, if this node has one. */
export function answerSummaryRequest(state: SummariesState, {from, dataCentre, cfg, nowMs}: Context & {
	readonly from: NodeId;
	readonly dataCentre: DataCentreId;
}): readonly MembershipSend[] {
	if (dataCentre === cfg.self.dataCentre) {
		return [{type: 'peer/send', to: from, message: createOwnSummary(state, 0, cfg)}];
	}

	const remote = state.remote.get(dataCentre);
	if (remote === undefined) {
		return [];
	}

	return [{
		type: 'peer/send',
		to: from,
		message: {
			type: 'membership/summary',
			dataCentre,
			stream: remote.stream,
			base: 0,
			version: remote.version,
			ageMs: nowMs - remote.lastSummaryAtMs,
			nodes: [...remote.nodes.values()],
			workers: [...remote.workers.values()],
		},
	}];
}

/** Lists the other data centres whose summary is fresh. */
export function listFreshDataCentres(state: SummariesState, {cfg, nowMs}: Context): readonly DataCentreId[] {
	return [...state.remote].filter(([, remote]) => isFresh(remote, cfg, nowMs)).map(([dataCentre]) => dataCentre).toSorted();
}
