/**
 * The leader's minion sessions, one for each minion incarnation in the ledger.
 */
import type {MinionId, PoolId, WorkerId} from '@samphiremill/common';
import type {Ledger, IncarnationId, MinionRecord} from '@samphiremill/core';
import type {MinionSession} from './minion-session.js';

/** The minion sessions of one leader. */
export type SessionRegistry = {
	readonly get: (life: IncarnationId) => MinionSession | undefined;
	readonly values: () => Iterable<MinionSession>;
	/** Returns the session of the latest incarnation of a minion. */
	readonly getLatest: (minion: MinionId) => MinionSession | undefined;
	/** Returns the session of the minion of a worker. */
	readonly findByWorker: (worker: WorkerId) => MinionSession | undefined;
	/** Whether the worker has a minion with a session. */
	readonly hasWorker: (worker: WorkerId) => boolean;
	/** Returns the sessions of one pool. */
	readonly listPool: (pool: PoolId) => Iterable<MinionSession>;
	/** Opens sessions for incarnations that joined the ledger and closes those of incarnations that left it. */
	readonly sync: () => void;
	readonly closeAll: () => void;
};

/** Creates an empty registry. `retainAddresses` is called with the addresses in use after each change. */
export function createSessionRegistry({getLedger, open, retainAddresses}: {
	readonly getLedger: () => Ledger;
	readonly open: (record: MinionRecord) => MinionSession;
	readonly retainAddresses: (addresses: ReadonlySet<string>) => void;
}): SessionRegistry {
	const sessions = new Map<IncarnationId, MinionSession>();
	const byPool = new Map<PoolId, Set<MinionSession>>();
	const byWorker = new Map<WorkerId, Set<MinionSession>>();
	const byMinion = new Map<MinionId, Set<MinionSession>>();

	const getOrAdd = <Key>(index: Map<Key, Set<MinionSession>>, key: Key): Set<MinionSession> => {
		const known = index.get(key) ?? new Set();
		index.set(key, known);
		return known;
	};

	const removeFrom = <Key>(index: Map<Key, Set<MinionSession>>, key: Key, session: MinionSession) => {
		const left = index.get(key);
		left?.delete(session);
		if (left?.size === 0) {
			index.delete(key);
		}
	};

	const add = (record: MinionRecord) => {
		const session = open(record);
		sessions.set(record.life, session);
		getOrAdd(byPool, record.pool).add(session);
		getOrAdd(byWorker, record.worker).add(session);
		getOrAdd(byMinion, record.minion).add(session);
	};

	const remove = (session: MinionSession) => {
		const {life, pool, worker, minion} = session.record;
		session.close();
		sessions.delete(life);
		byPool.get(pool)?.delete(session);
		removeFrom(byWorker, worker, session);
		removeFrom(byMinion, minion, session);
	};

	return {
		get: life => sessions.get(life),
		values: () => sessions.values(),
		getLatest: minion => [...byMinion.get(minion) ?? []].toSorted((left, right) => left.record.bornAtMs - right.record.bornAtMs).at(-1),
		findByWorker: worker => [...byWorker.get(worker) ?? []].at(-1),
		hasWorker: worker => byWorker.has(worker),
		listPool: pool => byPool.get(pool) ?? [],
		sync() {
			const {incarnations} = getLedger();
			let hasChanged = false;
			for (const [life, session] of sessions) {
				if (!incarnations.has(life)) {
					remove(session);
					hasChanged = true;
				}
			}

			// No incarnation is missing if there are as many as sessions, each of which is of one.
			if (sessions.size !== incarnations.size) {
				for (const [life, {record}] of incarnations) {
					if (!sessions.has(life)) {
						add(record);
						hasChanged = true;
					}
				}
			}

			if (!hasChanged) {
				return;
			}

			retainAddresses(new Set([...sessions.values()].map(({record}) => record.address)));
		},
		closeAll() {
			for (const session of sessions.values()) {
				session.close();
			}
		},
	};
}
