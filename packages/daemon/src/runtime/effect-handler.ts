import {assertNever} from '@samphiremill/common';
import type {ClaimRecord, JobsDecision} from '@samphiremill/core';
import type {JobRegistry} from './job-registry.js';
import type {ShellEffect} from './node-engine.js';

/** Creates the function that passes each effect of the reducer to the part of the daemon that executes it. */
export const createEffectHandler = ({getRegistry, persistClaim, recordDecision}: {
	readonly recordDecision: (decision: JobsDecision) => void;
	readonly getRegistry: () => JobRegistry;
	readonly persistClaim: (record: ClaimRecord) => void;
}) => (effect: ShellEffect): void => {
	switch (effect.type) {
		case 'jobs/dispatch': {
			getRegistry().dispatchAttempt(effect);
			return;
		}

		case 'jobs/cancelAttempt': {
			getRegistry().cancelAttempt(effect);
			return;
		}

		case 'node/replay': {
			getRegistry().setReplay(effect);
			return;
		}

		case 'jobs/finish': {
			getRegistry().finish(effect);
			return;
		}

		case 'jobs/decision': {
			recordDecision(effect.decision);
			return;
		}

		case 'claims/persist': {
			persistClaim(effect.record);
			return;
		}

		case 'minions/probe': {
			return;
		}

		default: {
			assertNever(effect);
		}
	}
};

