import {toBrand, type WaveId} from '@samphiremill/common';
import {
	createWavesState, defaultWavesConfig, estimateWave, getFleetRecords,
} from '@samphiremill/core';
import {createDocumentResponse, createNotFoundResponse} from '../respond.js';
import type {OperatorRoute} from '../types.js';

/** Tells how far a wave has come, what holds it up and when it can be expected to end. */
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
		// A bound of 0 hosts makes the time infinite, which JSON cannot say.
		return createDocumentResponse({...rest, ...(Number.isFinite(lowerBoundMs) && {lowerBoundMs})});
	},
};
