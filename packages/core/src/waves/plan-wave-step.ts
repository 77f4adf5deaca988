import {planGrants} from './plan-grants.js';
import {planHostSteps} from './plan-host-steps.js';
import {planObservations} from './plan-observations.js';
import {planRecordSteps} from './plan-record-steps.js';
import {createWaveDraft} from './wave-draft.js';
import type {PlanWaveInput, WaveCommand} from './types.js';

/**
 * Plans the commands that the leader proposes next for all waves: first the observed host conditions, then
 * the requests of operators, then the next step of each host that is aside, then new grants.
 *
 * Only a leader with a fresh quorum may call this function. Each command is checked again when it is applied,
 * so a plan that is applied late or twice does no harm.
 *
 * @param input - Contains the committed state, and the fleet and the platform as the leader observes them.
 * @returns The commands, to be proposed in this order.
 */
export function planWaveStep(input: PlanWaveInput): readonly WaveCommand[] {
	const {control, cfg} = input;
	const draft = createWaveDraft({state: control.waves, records: control.records, cfg});
	planObservations(input, draft);
	planRecordSteps(input, draft);
	planHostSteps(input, draft);
	planGrants(input, draft);
	return draft.getCommands();
}
