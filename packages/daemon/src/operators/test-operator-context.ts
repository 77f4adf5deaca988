/** A daemon without a network, for tests of the operators' routes. */
import {
	toBrand, type ChangeId, type DataCentreId, type NodeId, type WallClockMs,
} from '@samphiremill/common';
import {
	applyControlCommand, createControlState, type ControlState, type OperatorCommand,
} from '@samphiremill/core';
import {hashSecret} from './authorize-operator.js';
import {createSecretDeriver} from './derive-secret.js';
import {handleOperatorRequest} from './handle-operator-request.js';
import {operatorRoutes} from './routes.js';
import type {
	ApiRequest, ApiResponse, FleetStatus, OperatorContext, OperatorRoute, ProposalOutcome,
} from './types.js';

/** The token of the operator `ana`, who may write. */
export const writeToken = 'token-of-ana';
/** The token of the operator `rui`, who may only read. */
export const readToken = 'token-of-rui';

/** An in-memory daemon. A test can make its next proposals fail. */
export type TestDaemon = {
	readonly ctx: OperatorContext;
	/** Outcomes for the next proposals. With `unknown` the command is still applied; with `unavailable` it is not. */
	readonly outcomeOverrides: Array<'unavailable' | 'unknown'>;
	/** Sets whether the configuration lease is valid. */
	readonly setFresh: (isFresh: boolean) => void;
	readonly request: (input: TestRequest) => Promise<ApiResponse>;
};

/** A request of a test; `target` is the path with its query. */
export type TestRequest = Partial<Pick<ApiRequest, 'headers'>> & {
	readonly method: string;
	readonly target: string;
	readonly body?: string;
};

function matchPath(path: string, pathname: string): Readonly<Record<string, string>> | undefined {
	const [pattern, actual] = [path.split('/'), pathname.split('/')];
	const isMatch = pattern.length === actual.length
		&& pattern.every((segment, index) => segment.startsWith('{') || segment === actual[index]);
	return isMatch
		? Object.fromEntries(pattern
			.map((segment, index): [string, string] => [segment.slice(1, -1), decodeURIComponent(actual[index] ?? '')])
			.filter((_, index) => pattern[index]?.startsWith('{')))
		: undefined;
}

function findRoute(method: string, pathname: string): {route: OperatorRoute; params: Readonly<Record<string, string>>} | undefined {
	for (const route of operatorRoutes) {
		const parameters = route.method === method ? matchPath(route.path, pathname) : undefined;
		if (parameters !== undefined) {
			return {route, params: parameters};
		}
	}

	return undefined;
}

/**
 * Creates a daemon that applies proposed commands immediately.
 */
export function createTestDaemon(): TestDaemon {
	let state: ControlState = createControlState();
	let index = 0;
	let changeCount = 0;
	let isFresh = true;
	const outcomeOverrides: Array<'unavailable' | 'unknown'> = [];
	const [node, dataCentre] = [toBrand<NodeId>('node-1'), toBrand<DataCentreId>('recife')];

	const getStatus = (): FleetStatus => ({
		node,
		dataCentre,
		role: 'leader',
		term: 3,
		leader: node,
		commitIndex: index,
		appliedIndex: index,
		isFresh,
		hosts: [
			{
				node, dataCentre, health: 'alive', role: 'leader', appliedIndex: index,
			},
			{
				node: toBrand<NodeId>('node-2'), dataCentre, health: 'suspect', role: 'follower', appliedIndex: Math.max(0, index - 1),
			},
		],
	});

	const apply = (command: OperatorCommand): ProposalOutcome => {
		const step = applyControlCommand(state, command);
		state = step.state;
		index += 1;
		return {type: 'committed', answer: step.answer, index};
	};

	const context: OperatorContext = {
		operators: [
			{name: 'ana', role: 'write', tokenHash: hashSecret(writeToken)},
			{name: 'rui', role: 'read', tokenHash: hashSecret(readToken)},
		],
		getControlState: () => state,
		async propose(command) {
			const override = outcomeOverrides.shift();
			if (override === 'unavailable') {
				return {type: 'unavailable'};
			}

			const outcome = apply(command);
			return override === 'unknown' ? {type: 'unknown'} : outcome;
		},
		getStatus,
		requestFleetStatus: async () => getStatus(),
		getFleet: () => ({workers: []}),
		requestShares: async () => [{
			team: toBrand('olinda'), weight: 3, limit: 40, dueSlots: 30, grantedSlots: 30, usedSlots: 28.5, refusedJobs: 2,
		}],
		explain: subject => subject.type === 'job' && subject.job === 'j-1'
			? {
				decisions: [{
					atMs: toBrand<WallClockMs>(1000), decision: 'placed', reason: 'leastLoaded', details: {minion: 'm-1', alternatives: 7},
				}],
			}
			: undefined,
		getWallClockMs: () => toBrand<WallClockMs>(1_000_000),
		createChangeId() {
			changeCount += 1;
			return toBrand<ChangeId>(`generated-${changeCount}`);
		},
		deriveSecret: createSecretDeriver('a cluster secret for tests only'),
	};

	return {
		ctx: context,
		outcomeOverrides,
		setFresh(next) {
			isFresh = next;
		},
		async request({method, target, headers = {}, body = ''}) {
			const url = new URL(target, 'http://127.0.0.1');
			const found = findRoute(method, url.pathname);
			if (found === undefined) {
				return {status: 404, headers: {}, document: {title: 'no such route'}};
			}

			const req = {
				params: found.params, query: url.searchParams, headers, body,
			};
			return handleOperatorRequest({route: found.route, req, ctx: context});
		},
	};
}
