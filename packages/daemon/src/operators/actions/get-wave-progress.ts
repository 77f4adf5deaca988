import {toBrand, type WaveId} from '@samphiremill/common';
import {
	createWavesState, defaultWavesConfig, estimateWave, getFleetRecords,
} from '@samphiremill/core';
import {createDocumentResponse, createNotFoundResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Returns the progress of a wave, what blocks it, and an estimate of its end. */
export const getWaveProgressRoute: OperatorRoute = {
	method: 'GET',
	path: '/v1/waves/{id}/progress',
	role: 'read',
	handle({params}, context) {
		const {id = ''} = params;
		const state = context.getControlState();
		const progress = estimateWave({
			wave: toBrand<WaveId>(id),
			state: state.waves ?? createWavesState(),
			records: getFleetRecords(state),
			cfg: defaultWavesConfig,
			nowMs: context.getWallClockMs(),
		});
		if (progress === undefined) {
			return createNotFoundResponse(`wave ${id}`);
		}

		const {lowerBoundMs, ...rest} = progress;
		// With a limit of 0 hosts the time is infinite, which JSON cannot express.
		return createDocumentResponse({...rest, ...(Number.isFinite(lowerBoundMs) && {lowerBoundMs})});
	},
};
