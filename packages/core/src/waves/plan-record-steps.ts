import type {
	PlanWaveInput, VersionedWave, WaveCommand, WaveState,
} from './types.js';
import type {WaveDraft} from './wave-draft.js';

/**
 * Proposes what operators ask for by their records: starts, pauses, resumes, aborts, deletions.
 *
 * @param input - The records and the time.
 * @param draft - The plan to extend.
 */
export function planRecordSteps({control, nowMs}: PlanWaveInput, draft: WaveDraft): void {
	const started = new Map(draft.getState().waves.map(wave => [wave.wave, wave]));
	for (const versioned of control.records.waves) {
		const command = createRecordCommand({versioned, wave: started.get(versioned.record.id), nowMs});
		if (command !== undefined) {
			draft.propose(command);
		}
	}

	const recorded = new Set(control.records.waves.map(({record}) => record.id));
	for (const {wave, recordRevision} of started.values()) {
		if (!recorded.has(wave)) {
			draft.propose({
				type: 'waves/abort', wave, recordRevision, atMs: nowMs,
			});
			draft.propose({type: 'waves/forget', wave});
		}
	}
}

function createRecordCommand({versioned, wave, nowMs}: {
	versioned: VersionedWave;
	wave: WaveState | undefined;
	nowMs: PlanWaveInput['nowMs'];
}): WaveCommand | undefined {
	const {record: {id, desired}, revision} = versioned;
	if (wave === undefined) {
		return desired === 'running' ? {type: 'waves/start', wave: id, atMs: nowMs} : undefined;
	}

	const follow = {wave: id, recordRevision: revision, atMs: nowMs};
	if (desired === 'aborted') {
		return {type: 'waves/abort', ...follow};
	}

	if (desired === 'paused') {
		return {type: 'waves/pause', ...follow};
	}

	// A wave that paused by itself stays paused until the record is written again.
	return revision > wave.recordRevision ? {type: 'waves/resume', ...follow} : undefined;
}
