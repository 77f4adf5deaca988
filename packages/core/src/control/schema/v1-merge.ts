/**
 * Reads the older schema version into the internal form. A value that the document gives back as it
 * was shown leaves the internal value alone, so that what the older version cannot say, and what it
 * can say only coarsely, survives an edit.
 */
import {assertNever} from '@samphiremill/common';
import {defaultTeamWeight} from '../constants.js';
import type {
	KeyRecord, LimitRecord, PoolRecord, QueueRecord, ShareRecord, TeamRecord, WaveRecord, WorkerRecord,
} from '../types.js';
import type {V1Document} from './v1-schema.js';

const bytesPerKb = 1024;
const mbPerGb = 1024;
const msPerSecond = 1000;

type V1Of<Kind extends V1Document['kind']> = Extract<V1Document, {kind: Kind}>;
type WaveV1State = V1Of<'wave'>['state'];

/**
 * How one value is shown in the older version, and how it is read from there.
 */
type V1Converter<Internal, Shown> = {
	readonly toV1: (value: Internal) => Shown;
	readonly fromV1: (shown: Shown) => Internal;
};

const bodySizeConverter: V1Converter<number, number> = {
	toV1: bytes => Math.ceil(bytes / bytesPerKb),
	fromV1: kb => kb * bytesPerKb,
};

const memoryConverter: V1Converter<number, number> = {
	toV1: mb => Math.ceil(mb / mbPerGb),
	fromV1: gb => gb * mbPerGb,
};

const timeoutConverter: V1Converter<number, number> = {
	toV1: ms => Math.ceil(ms / msPerSecond),
	fromV1: seconds => seconds * msPerSecond,
};

const weightConverter: V1Converter<number, number> = {
	toV1: weight => Math.max(1, Math.round(weight)),
	fromV1: weight => weight,
};

const desiredConverter: V1Converter<WaveRecord['desired'], WaveV1State> = {
	toV1: desired => desired === 'running' ? 'running' : 'stopped',
	fromV1: state => state === 'running' ? 'running' : 'paused',
};

const poolsConverter: V1Converter<WaveRecord['pools'], WaveRecord['pools'][number]> = {
	toV1([first]) {
		if (first === undefined) {
			throw new RangeError('A wave has at least one pool');
		}

		return first;
	},
	fromV1: pool => [pool],
};

function mergeValue<Internal, Shown>({lens: converter, current, given}: {
	readonly lens: V1Converter<Internal, Shown>;
	readonly current: Internal | undefined;
	readonly given: Shown;
}): Internal {
	return current !== undefined && converter.toV1(current) === given ? current : converter.fromV1(given);
}

/** The records that one v1 document stands for, as far as they exist. */
export type V1Records = {
	readonly pool?: PoolRecord;
	readonly team?: TeamRecord;
	readonly share?: ShareRecord;
	readonly limit?: LimitRecord;
	readonly key?: KeyRecord;
	readonly queue?: QueueRecord;
	readonly worker?: WorkerRecord;
	readonly wave?: WaveRecord;
};

function mergeTeam({name, title, share, limit}: V1Of<'team'>, current: V1Records): V1Records {
	const weight = mergeValue({lens: weightConverter, current: current.share?.weight ?? defaultTeamWeight, given: share});
	const isShareNeeded = current.share !== undefined || weight !== defaultTeamWeight;
	return {
		team: {kind: 'team', id: name, displayName: title},
		...(isShareNeeded && {share: {kind: 'share', id: name, weight}}),
		...(limit !== undefined && {limit: {kind: 'limit', id: name, maximumRunningJobs: limit}}),
	};
}

function mergeQueue(document: V1Of<'queue'>, {queue}: V1Records): V1Records {
	return {
		queue: {
			kind: 'queue',
			id: document.name,
			pool: document.pool,
			access: queue?.access ?? 'keyed',
			maximumBodyBytes: mergeValue({lens: bodySizeConverter, current: queue?.maximumBodyBytes, given: document.maxBodyKb}),
			defaultDeadlineMs: mergeValue({
				lens: timeoutConverter, current: queue?.defaultDeadlineMs, given: document.timeoutSeconds,
			}),
		},
	};
}

function mergeWorker(document: V1Of<'worker'>, {worker}: V1Records): V1Records {
	return {
		worker: {
			kind: 'worker',
			id: document.name,
			dataCentre: document.dataCentre,
			rack: document.rack,
			cores: document.cores,
			memoryMb: mergeValue({lens: memoryConverter, current: worker?.memoryMb, given: document.memoryGb}),
			accelerators: worker?.accelerators ?? 0,
			homePool: document.pool,
		},
	};
}

function mergeWave(document: V1Of<'wave'>, {wave}: V1Records): V1Records {
	const pools = mergeValue({lens: poolsConverter, current: wave?.pools, given: document.pool});
	const workers = pools === wave?.pools ? wave.workers : undefined;
	return {
		wave: {
			kind: 'wave',
			id: document.name,
			pools,
			...(workers !== undefined && {workers}),
			desired: mergeValue({lens: desiredConverter, current: wave?.desired, given: document.state}),
			maximumHostsAside: document.maxHosts,
		},
	};
}

/**
 * Merges a v1 document with the records that it stands for.
 *
 * @param document - The document.
 * @param current - The records before the edit.
 * @returns The records after the edit. A share or limit that is absent is to be deleted.
 */
export function mergeV1Document(document: V1Document, current: V1Records): V1Records {
	switch (document.kind) {
		case 'pool': {
			return {
				pool: {
					kind: 'pool', id: document.name, maximumUnavailableHosts: document.maxDown, isSpare: current.pool?.isSpare ?? false,
				},
			};
		}

		case 'team': {
			return mergeTeam(document, current);
		}

		case 'key': {
			return {
				key: {
					kind: 'key', id: document.name, team: document.team, secretHash: document.secretHash,
				},
			};
		}

		case 'queue': {
			return mergeQueue(document, current);
		}

		case 'worker': {
			return mergeWorker(document, current);
		}

		case 'wave': {
			return mergeWave(document, current);
		}

		default: {
			return assertNever(document);
		}
	}
}

/**
 * Shows records as a v1 document.
 *
 * @param records - The records that the document stands for; that of the document's own kind first.
 * @returns The document, or `undefined` where there is nothing to show.
 */
export function toV1Document(records: V1Records): V1Document | undefined {
	const envelope = {apiVersion: 'samphiremill/v1'} as const;
	const {pool, team, share, limit, key, queue, worker, wave} = records;
	if (pool !== undefined) {
		return {
			...envelope, kind: 'pool', name: pool.id, maxDown: pool.maximumUnavailableHosts,
		};
	}

	if (team !== undefined) {
		return {
			...envelope,
			kind: 'team',
			name: team.id,
			title: team.displayName,
			share: weightConverter.toV1(share?.weight ?? defaultTeamWeight),
			...(limit !== undefined && {limit: limit.maximumRunningJobs}),
		};
	}

	if (key !== undefined) {
		return {
			...envelope, kind: 'key', name: key.id, team: key.team, secretHash: key.secretHash,
		};
	}

	if (queue !== undefined) {
		return {
			...envelope,
			kind: 'queue',
			name: queue.id,
			pool: queue.pool,
			maxBodyKb: bodySizeConverter.toV1(queue.maximumBodyBytes),
			timeoutSeconds: timeoutConverter.toV1(queue.defaultDeadlineMs),
		};
	}

	if (worker !== undefined) {
		return {
			...envelope,
			kind: 'worker',
			name: worker.id,
			dataCentre: worker.dataCentre,
			rack: worker.rack,
			cores: worker.cores,
			memoryGb: memoryConverter.toV1(worker.memoryMb),
			pool: worker.homePool,
		};
	}

	return wave === undefined
		? undefined
		: {
			...envelope,
			kind: 'wave',
			name: wave.id,
			pool: poolsConverter.toV1(wave.pools),
			state: desiredConverter.toV1(wave.desired),
			maxHosts: wave.maximumHostsAside,
		};
}
