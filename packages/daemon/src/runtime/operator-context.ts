/**
 * Connects the operators' HTTP routes to the running daemon.
 */
import {randomUUID} from 'node:crypto';
import {
	assertNever, toBrand, type ChangeId, type NodeId, type TeamId,
} from '@samphiremill/common';
import {
	getFleetView,
	getTeamLimit,
	getTeamWeight,
	mergeShareReports,
	reportShares,
	type ReplicaRole,
	type ReplicaState,
	type ShareReportLine,
} from '@samphiremill/core';
import {
	createSecretDeriver, type FleetStatus, type HostStatus, type OperatorContext, type ProposalOutcome, type TeamShareReport,
} from '../operators/index.js';
import type {PeerTransport} from '../peers/index.js';
import type {DecisionHistory} from './decision-history.js';
import {
	requestNodeReports, requestShareReports, type NodeReport, type ReportSource,
} from './peer-reports.js';
import type {ProposalResult, Runtime} from './types.js';

type ContextSource = {
	readonly runtime: Runtime;
	readonly transport: PeerTransport;
	readonly history: DecisionHistory;
	readonly getReplica: () => ReplicaState<unknown>;
};

const getRoleName = (role: ReplicaRole): HostStatus['role'] => {
	switch (role) {
		case 'preCandidate':
		case 'candidate': {
			return 'candidate';
		}

		case 'observer':
		case 'follower':
		case 'leader': {
			return role;
		}

		default: {
			return assertNever(role);
		}
	}
};

/** Creates the source of the reports on this entry host. */
export function createReportSource({runtime, getReplica}: Pick<ContextSource, 'runtime' | 'getReplica'>): ReportSource {
	return {
		getNodeReport: () => ({role: getRoleName(getReplica().role), appliedIndex: getReplica().commitIndex}),
		getShareReport(windowMs) {
			const {shareWindow} = runtime.getState().jobs;
			const fromMs = runtime.timers.getNow() - windowMs;
			return reportShares({...shareWindow, buckets: shareWindow.buckets.filter(({endMs}) => endMs > fromMs)});
		},
	};
}

const toOutcome = (result: ProposalResult): ProposalOutcome => {
	if (result.ok) {
		const {index, answer} = result.value;
		return answer === undefined ? {type: 'unknown'} : {type: 'committed', answer, index};
	}

	return result.err.type === 'notProposed' ? {type: 'unavailable'} : {type: 'unknown'};
};

const toTeamReports = (runtime: Runtime, lines: readonly ShareReportLine[]): readonly TeamShareReport[] => {
	const control = runtime.getControl();
	const reports = new Map<TeamId, TeamShareReport>();
	for (const {team, dueSlots, grantedSlots, usedSlots, refused} of lines) {
		const limit = getTeamLimit(control, team);
		const earlier = reports.get(team);
		reports.set(team, {
			team,
			weight: getTeamWeight(control, team),
			...(limit === undefined ? {} : {limit}),
			dueSlots: (earlier?.dueSlots ?? 0) + dueSlots,
			grantedSlots: (earlier?.grantedSlots ?? 0) + grantedSlots,
			usedSlots: (earlier?.usedSlots ?? 0) + usedSlots,
			refusedJobs: (earlier?.refusedJobs ?? 0) + refused,
		});
	}

	return [...reports.values()].toSorted((left, right) => left.team < right.team ? -1 : 1);
};

/** Creates the context of the operators' routes. */
export function createOperatorContext(source: ContextSource): OperatorContext {
	const {runtime, transport, history, getReplica} = source;
	const {settings} = runtime;
	const reportSource = createReportSource(source);
	const otherNodes = settings.peers.map(({node}) => node);

	const getHosts = (reports: ReadonlyMap<NodeId, NodeReport>): readonly HostStatus[] =>
		runtime.getState().membership.view.members.map(({node, dataCentre, health}): HostStatus => {
			const report = node === settings.node ? reportSource.getNodeReport() : reports.get(node);
			return {
				node, dataCentre, health, role: report?.role ?? 'unknown', appliedIndex: report?.appliedIndex ?? 0,
			};
		});

	const getStatus = (reports: ReadonlyMap<NodeId, NodeReport>): FleetStatus => {
		const {term, leader, commitIndex} = getReplica();
		return {
			node: settings.node,
			dataCentre: settings.dataCentre,
			role: reportSource.getNodeReport().role,
			term,
			...(leader === undefined ? {} : {leader}),
			commitIndex,
			appliedIndex: commitIndex,
			isFresh: runtime.getFreshness() === 'fresh',
			hosts: getHosts(reports),
		};
	};

	return {
		operators: settings.operators,
		getControlState: runtime.getControl,
		propose: async command => toOutcome(await runtime.propose(command)),
		getStatus: () => getStatus(new Map()),
		requestFleetStatus: async () => getStatus(await requestNodeReports({transport, nodes: otherNodes})),
		getFleet() {
			const {membership} = runtime.getState();
			return getFleetView(membership, {cfg: runtime.membershipConfig, nowMs: runtime.timers.getNow()});
		},
		async requestShares({windowMs}) {
			const reports = await requestShareReports({transport, nodes: otherNodes, windowMs});
			return toTeamReports(runtime, mergeShareReports([reportSource.getShareReport(windowMs), ...reports]));
		},
		explain: history.explain,
		getWallClockMs: runtime.getWallClock,
		createChangeId: () => toBrand<ChangeId>(randomUUID()),
		deriveSecret: createSecretDeriver(settings.clusterSecret),
	};
}
