import {planGrants} from './plan-grants.js';
import {planHostSteps} from './plan-host-steps.js';
import {planObservations} from './plan-observations.js';
import {planRecordSteps} from './plan-record-steps.js';
import {createWaveDraft} from './wave-draft.js';
import type {PlanWaveInput, WaveCommand} from './types.js';

/**
 * Plans what the leader proposes next for all waves: what it observes of hosts first, then what
 * operators ask for, then the next step of each host that is aside, then new grants.
 *
 * Only a leader with a fresh quorum may run this. Each command is checked again when it is applied,
 * so a plan that comes late or twice does no harm.
 *
 * @param input - The committed state, the leader's view of the fleet and of the platform, and the
 *   time in milliseconds.
 * @returns The commands to propose, in this order.
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
