/**
 * Control hosts in virtual time: a test network whose hosts join through the log, begin their terms, commit without a pause
 * and maintain the set of voters.
 */
import {toBrand, type NodeId, type RandomSource} from '@samphiremill/common';
import type {TestNetwork} from './test-network.js';
import {createVoterMaintenance} from './test-voter-maintenance.js';
import type {RequestId, StoreId, VoterIdentity} from './types.js';

const stepMs = 1;
const linkCheckPeriodMs = 50;
const voterCheckPeriodMs = 250;
const joinRetryPeriodMs = 500;
const callRetryDelayMs = 100;
const termBeginRetryDelayMs = 100;

/** The load that a leader with duties commits, one proposal after the other. */
export type ControlHostLoad = {
	readonly pauseMs: {readonly least: number; readonly most: number};
	/** Makes each command longer, in characters. */
	readonly padding: number;
};

/** Control hosts on a test network. */
export type ControlHosts = {
	/** Runs the hosts and calls `check` after each millisecond, until the time has passed or `check` returns true. */
	readonly run: (durationMs: number, check?: () => boolean) => boolean;
	/** The hosts that lead with a lease and have begun their term. */
	readonly listActing: () => readonly string[];
	/** Whether a host leads, and exactly the present data folders of all hosts are voters. */
	readonly areAllVoters: () => boolean;
	/** The number of commands of the load that were acknowledged. */
	readonly getAcknowledgedCount: () => number;
	readonly lose: (name: string) => void;
	readonly returnEmpty: (name: string) => void;
	readonly restart: (name: string) => void;
	/** The process of the host stands still. */
	readonly pause: (name: string, durationMs: number) => void;
};

type Duties = {
	readonly term: number;
	beginRequest: RequestId;
	beginAtMs: number;
	isBegun: boolean;
	loadRequest: RequestId | undefined;
	loadAtMs: number;
};

const joinPrefix = 'join ';

const listJoined = (applied: readonly string[]): readonly VoterIdentity[] => {
	const stores = new Map<string, string>();
	for (const command of applied) {
		if (command.startsWith(joinPrefix)) {
			const [, name = '', storeId = ''] = command.split(' ');
			stores.set(name, storeId);
		}
	}

	return [...stores].map(([name, storeId]) => ({node: toBrand<NodeId>(name), storeId: toBrand<StoreId>(storeId)}));
};

/**
 * Starts the control hosts of a network.
 *
 * @param options - `names` are the hosts with disks, and `random` decides on the times of what they do.
 */
export function createControlHosts({network, names, wantedVoters, load, random}: {
	readonly network: TestNetwork;
	readonly names: readonly string[];
	readonly wantedVoters: number;
	readonly load: ControlHostLoad;
	readonly random: RandomSource;
}): ControlHosts {
	const {recordLinks, maintain} = createVoterMaintenance({
		network, names, wantedVoters, listHosts: leader => listJoined(network.getApplied(leader)),
	});
	const duties = new Map<string, Duties>();
	const resumeAtMs = new Map<string, number>();
	const announceAtMs = new Map<string, number>(names.map(name => [name, network.getNowMs() + joinRetryPeriodMs]));
	const callUntilMs = new Map<string, number>();
	const checkAtMs = new Map<string, number>();
	let commandCount = 0;
	let acknowledgedCount = 0;
	const padding = '.'.repeat(load.padding);

	const isRunning = (name: string) => network.isUp(name) && !resumeAtMs.has(name);

	const isMember = (name: string) => listJoined(network.getApplied(name))
		.some(({node, storeId}) => node === toBrand<NodeId>(name) && storeId === network.getStoreId(name));

	const isActing = (name: string) => isRunning(name)
		&& duties.get(name)?.isBegun === true
		&& duties.get(name)?.term === network.getState(name).term
		&& network.hasLeaderLease(name);

	const beginTerm = (name: string, known: Duties | undefined) => {
		const nowMs = network.getNowMs();
		const {term} = network.getState(name);
		if (known?.term !== term) {
			duties.set(name, {
				term, beginRequest: network.propose(name, `term ${term}`), beginAtMs: nowMs, isBegun: false, loadRequest: undefined, loadAtMs: nowMs,
			});
			return;
		}

		const outcome = network.getOutcome(known.beginRequest);
		if (outcome?.type === 'done') {
			known.isBegun = true;
		} else if (outcome !== undefined && nowMs - known.beginAtMs >= termBeginRetryDelayMs) {
			known.beginAtMs = nowMs;
			known.beginRequest = network.propose(name, `term ${term}`);
		}
	};

	const commitLoad = (name: string, known: Duties) => {
		const nowMs = network.getNowMs();
		if (known.loadRequest !== undefined) {
			const outcome = network.getOutcome(known.loadRequest);
			if (outcome === undefined) {
				return;
			}

			acknowledgedCount += outcome.type === 'done' ? 1 : 0;
			known.loadRequest = undefined;
			known.loadAtMs = nowMs + load.pauseMs.least + (random() * (load.pauseMs.most - load.pauseMs.least));
		}

		if (nowMs >= known.loadAtMs) {
			commandCount += 1;
			known.loadRequest = network.propose(name, `command ${commandCount}${padding}`);
		}
	};

	const lead = (name: string) => {
		if (network.getState(name).role !== 'leader') {
			duties.delete(name);
			return;
		}

		const known = duties.get(name);
		if (known?.isBegun !== true || known.term !== network.getState(name).term) {
			beginTerm(name, known);
			return;
		}

		if (!network.hasLeaderLease(name)) {
			return;
		}

		commitLoad(name, known);
		if (network.getNowMs() >= (checkAtMs.get(name) ?? 0)) {
			checkAtMs.set(name, network.getNowMs() + voterCheckPeriodMs);
			maintain(name);
		}
	};

	// A call goes to one host after another until a leader answers or its time is up.
	const announce = (name: string) => {
		const nowMs = network.getNowMs();
		if (nowMs >= (announceAtMs.get(name) ?? 0)) {
			announceAtMs.set(name, nowMs + joinRetryPeriodMs);
			if (!isMember(name)) {
				callUntilMs.set(name, nowMs + joinRetryPeriodMs);
			}
		}

		const untilMs = callUntilMs.get(name);
		if (untilMs === undefined || (untilMs - nowMs) % callRetryDelayMs !== 0) {
			return;
		}

		const leader = names.find(other => isActing(other) && (other === name || network.isLinked(name, other)));
		if (leader !== undefined) {
			network.propose(leader, `${joinPrefix}${name} ${network.getStoreId(name) ?? ''}`);
		}

		if (leader !== undefined || nowMs >= untilMs) {
			callUntilMs.delete(name);
		}
	};

	const resumeDue = () => {
		for (const [name, atMs] of resumeAtMs) {
			if (network.getNowMs() >= atMs) {
				resumeAtMs.delete(name);
				network.resume(name);
			}
		}
	};

	const step = () => {
		network.run(stepMs);
		resumeDue();
		if (network.getNowMs() % linkCheckPeriodMs === 0) {
			recordLinks();
		}

		for (const name of names.filter(name => isRunning(name))) {
			lead(name);
			announce(name);
		}
	};

	const startProcess = (name: string) => {
		resumeAtMs.delete(name);
		duties.delete(name);
		callUntilMs.delete(name);
		announceAtMs.set(name, network.getNowMs() + joinRetryPeriodMs);
	};

	return {
		run(durationMs, check) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				step();
				if (check?.() === true) {
					return true;
				}
			}

			return false;
		},
		listActing: () => names.filter(name => isActing(name)),
		areAllVoters() {
			const leader = names.find(name => isActing(name));
			const stores = new Set(names.map(name => network.getStoreId(name)));
			const state = leader === undefined ? undefined : network.getState(leader);
			return state !== undefined && state.commitIndex >= state.votersIndex
				&& state.voters.length === names.length && state.voters.every(({storeId}) => stores.has(storeId));
		},
		getAcknowledgedCount: () => acknowledgedCount,
		lose(name) {
			startProcess(name);
			network.crash(name);
		},
		returnEmpty(name) {
			startProcess(name);
			network.wipe(name);
		},
		restart(name) {
			startProcess(name);
			network.restart(name);
		},
		pause(name, durationMs) {
			if (isRunning(name)) {
				resumeAtMs.set(name, network.getNowMs() + durationMs);
				network.pause(name);
			}
		},
	};
}
