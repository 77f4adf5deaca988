/**
 * The leader's minion sessions, one for each minion incarnation in the ledger.
 */
import type {PoolId} from '@samphiremill/common';
import type {Ledger, IncarnationId, MinionRecord} from '@samphiremill/core';
import type {MinionSession} from './minion-session.js';

/** The minion sessions of one leader. */
export type SessionRegistry = {
	readonly get: (life: IncarnationId) => MinionSession | undefined;
	readonly values: () => Iterable<MinionSession>;
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

	const add = (record: MinionRecord) => {
		const session = open(record);
		sessions.set(record.life, session);
		const poolSessions = byPool.get(record.pool) ?? new Set();
		byPool.set(record.pool, poolSessions);
		poolSessions.add(session);
	};

	const remove = (session: MinionSession) => {
		session.close();
		sessions.delete(session.record.life);
		byPool.get(session.record.pool)?.delete(session);
	};

	return {
		get: life => sessions.get(life),
		values: () => sessions.values(),
		listPool: pool => byPool.get(pool) ?? [],
		sync() {
			const {incarnations} = getLedger();
			const endedSessions = [...sessions.values()].filter(({record}) => !incarnations.has(record.life));
			const newIncarnations = [...incarnations.values()].filter(({record}) => !sessions.has(record.life));
			if (endedSessions.length === 0 && newIncarnations.length === 0) {
				return;
			}

			for (const session of endedSessions) {
				remove(session);
			}

			for (const {record} of newIncarnations) {
				add(record);
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
