/**
 * Decides which answer is still true after an earlier attempt of the same call whose outcome is uncertain: that attempt may have
 * been carried out, or may still be.
 */
import {assertNever} from '@samphiremill/common';
import type {ClusterAnswer, ClusterCall} from './types.js';

/** Returns whether an answer says that its call had no effect. */
const deniesEffect = ({type}: ClusterAnswer): boolean => {
	switch (type) {
		case 'refused':
		case 'unknownJob':
		case 'unknownQueue':
		case 'unknownKey':
		case 'unknownWave':
		case 'invalidRequest':
		case 'noConfiguration':
		case 'unavailable': {
			return true;
		}

		case 'accepted':
		case 'jobState':
		case 'pendingJobs':
		case 'done':
		case 'configuration':
		case 'limits':
		case 'waveState':
		case 'uncertain': {
			return false;
		}

		default: {
			return assertNever(type);
		}
	}
};

/** Returns whether an answer depends on what is in force when the call arrives, so that an earlier attempt may have met another state. */
const dependsOnState = (call: ClusterCall, answer: ClusterAnswer): boolean => {
	switch (call.type) {
		// They change nothing, so it does not matter whether an earlier attempt was carried out.
		case 'job/read':
		case 'configuration/read':
		case 'wave/read':
		case 'limits/read':
		case 'minion/reportsSeen': {
			return false;
		}

		// What these say is checked without the state: an earlier attempt was found invalid as well.
		case 'configuration/replace':
		case 'minion/report': {
			return answer.type !== 'invalidRequest';
		}

		case 'job/submit':
		case 'job/cancel':
		case 'minion/leave':
		case 'wave/start':
		case 'host/join': {
			return true;
		}

		default: {
			return assertNever(call);
		}
	}
};

/**
 * Returns the answer to pass on after an attempt whose outcome is uncertain: the present one if it is true whatever became of that
 * attempt, `uncertain` otherwise.
 *
 * @param call - The call, sent again unchanged.
 * @param answer - The answer to the present attempt.
 */
export function getAnswerAfterDoubt(call: ClusterCall, answer: ClusterAnswer): ClusterAnswer {
	// Only a submission is refused, whatever the call says of itself.
	const isDoubtful = answer.type === 'refused' || (deniesEffect(answer) && dependsOnState(call, answer));
	return isDoubtful ? {type: 'uncertain'} : answer;
}
