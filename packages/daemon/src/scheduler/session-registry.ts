/**
 * The leader's sessions with minions, which follow the lives that the ledger knows.
 */
import type {PoolId} from '@samphiremill/common';
import type {Ledger, IncarnationId, MinionRecord} from '@samphiremill/core';
import type {MinionSession} from './minion-session.js';

/** The sessions of one leader. */
export type SessionRegistry = {
	readonly get: (life: IncarnationId) => MinionSession | undefined;
	readonly values: () => Iterable<MinionSession>;
	/** The sessions with minions of one pool. */
	readonly listPool: (pool: PoolId) => Iterable<MinionSession>;
	/** Opens and closes sessions as lives have come and gone. */
	readonly sync: () => void;
	readonly closeAll: () => void;
};

/**
 * @param options - The ledger, how to open a session, and whom to tell which addresses are in use.
 * @returns The registry, empty.
 */
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
			const {incarnations: lives} = getLedger();
			const endedSessions = [...sessions.values()].filter(({record}) => !lives.has(record.life));
			const newIncarnations = [...lives.values()].filter(({record}) => !sessions.has(record.life));
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
