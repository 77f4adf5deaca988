/**
 * What the platform sees: orders for workers and waves of maintenance.
 */
import type {WorkerId} from '@samphiremill/common';
import {findStep} from './fleet-view.js';
import type {CheckContext, Handlers} from './handlers.js';

type PlatformObservation = 'waveSent' | 'waveConfirmed' | 'workerOrdered' | 'upkeepBegun' | 'moveBegun';

/**
 * Creates the handlers of what the platform sees.
 *
 * @param context - The view and the surroundings.
 * @returns The handlers.
 */
export function createPlatformHandlers({view, limits, getNow, report}: CheckContext): Handlers<PlatformObservation> {
	const checkEviction = (worker: WorkerId) => {
		const minions = [...view.minions.values()].filter(({record}) => record.worker === worker);
		for (const task of minions.flatMap(({runs}) => [...runs.keys()])) {
			if (findStep(view, task)?.disruptionBudget !== undefined) {
				report('evicted', `${task} by an order for its worker`);
			}
		}
	};

	return {
		// A wave that is written again keeps its first limit.
		waveSent({wave, maximumAtOnce}) {
			const known = view.waves.get(wave);
			if (known?.isConfirmed !== true) {
				view.waves.set(wave, {maximumAtOnce: Math.max(maximumAtOnce, known?.maximumAtOnce ?? 0), isConfirmed: false});
			}
		},
		waveConfirmed({wave}) {
			const known = view.waves.get(wave);
			if (known !== undefined) {
				view.waves.set(wave, {...known, isConfirmed: true});
			}
		},
		workerOrdered({worker, holder, fencingToken}) {
			const earlier = view.orders.get(worker);
			const isOtherHolder = earlier !== undefined && earlier.holder !== holder;
			if (earlier !== undefined && earlier.fencingToken > fencingToken) {
				report('staleOrder', `${worker} by ${holder}: ${fencingToken} after ${earlier.fencingToken}`);
			}

			if (isOtherHolder && earlier.fencingToken === fencingToken) {
				report('sameToken', `${worker} by ${holder} and ${earlier.holder}: ${fencingToken}`);
			}

			if (isOtherHolder && getNow() - earlier.atMs < limits.orderLeaseMs) {
				report('orderTurn', `${worker} by ${holder} after ${earlier.holder}`);
			}

			view.orders.set(worker, {holder, fencingToken, atMs: getNow()});
		},
		upkeepBegun({worker, wave, untilMs}) {
			const down = [...view.upkeeps.values()].filter(upkeep => upkeep.wave === wave && getNow() < upkeep.untilMs);
			if (down.length >= (view.waves.get(wave)?.maximumAtOnce ?? 0)) {
				report('waveBound', `${worker} beside ${down.length} of wave ${wave}`);
			}

			view.upkeeps.set(worker, {wave, untilMs});
			checkEviction(worker);
		},
		moveBegun({worker}) {
			checkEviction(worker);
		},
	};
}
