/**
 * What an effect of one part means to another.
 */
import type {MonotonicMs} from '@samphiremill/common';
import {createClaimName} from '../claims/index.js';
import type {EscrowResource} from '../escrow/index.js';
import type {MembershipView, MemberStatus} from '../membership/index.js';
import {listPlaceableMinions} from './placeable-minions.js';
import type {
	InternalEffect, NodeEffect, NodeEvent, NodeState, PartEffect,
} from './types.js';

const internalTypes: ReadonlySet<string> = new Set<InternalEffect['type']>([
	'claims/answered',
	'claims/startRecorded',
	'escrow/held',
	'jobs/claim',
	'jobs/demandChanged',
	'jobs/limitUseChanged',
	'jobs/recordStart',
	'jobs/slotUseChanged',
	'membership/changed',
	'minions/changed',
]);

/**
 * @param effect - An effect of a part.
 * @returns Whether it is for another part rather than for the shell.
 */
export function isInternalEffect(effect: PartEffect): effect is InternalEffect {
	return internalTypes.has(effect.type);
}

const isLost = (member: MemberStatus, previous: MemberStatus | undefined): boolean => {
	const isGone = member.health === 'dead' || member.health === 'left';
	const wasGone = previous?.health === 'dead' || previous?.health === 'left';
	const hasRestarted = previous !== undefined && previous.incarnation !== 0 && member.incarnation > previous.incarnation;
	return (isGone && !wasGone) || hasRestarted;
};

const listLostNodes = (view: MembershipView, former: MembershipView): MemberStatus[] => {
	const known = new Map(former.members.map(member => [member.node, member]));
	return view.members.filter(member => isLost(member, known.get(member.node)));
};

const createUsageEvent = (resource: EscrowResource, running: number, nowMs: MonotonicMs): NodeEvent => ({
	type: 'escrow/usage', usage: [{resource, running}], nowMs,
});

/** What an internal effect leads to: events for other parts, and effects for the shell. */
export type RoutedEffect = {
	readonly events: readonly NodeEvent[];
	readonly effects: readonly NodeEffect[];
};

/**
 * @param options - The effect, the entry host before and after the event that led to it, and the time.
 * @returns The events of other parts and the shell's effects that it leads to.
 */
export function routeEffect({effect, state, former, nowMs}: {
	readonly effect: InternalEffect;
	readonly state: NodeState;
	readonly former: NodeState;
	readonly nowMs: MonotonicMs;
}): RoutedEffect {
	switch (effect.type) {
		case 'claims/answered': {
			const {job, answer} = effect;
			return {
				events: [{
					type: 'jobs/claimAnswered', job, answer, nowMs,
				}],
				effects: answer.type === 'replay' ? [{type: 'node/replay', job, answer}] : [],
			};
		}

		case 'claims/startRecorded': {
			return {events: [{...effect, type: 'jobs/startRecorded', nowMs}], effects: []};
		}

		case 'escrow/held': {
			return {events: [{type: 'node/rightsHeld', rights: effect.rights, nowMs}], effects: []};
		}

		case 'jobs/demandChanged': {
			return {events: [{type: 'node/demandChanged', demands: effect.demands, nowMs}], effects: []};
		}

		case 'jobs/slotUseChanged': {
			const {minion, incarnation, inUse} = effect;
			return {events: [createUsageEvent({type: 'slot', minion, incarnation}, inUse, nowMs)], effects: []};
		}

		case 'jobs/limitUseChanged': {
			return {events: [createUsageEvent({type: 'teamLimit', team: effect.team}, effect.inUse, nowMs)], effects: []};
		}

		case 'jobs/claim': {
			const {job, team, idempotencyKey, bodyHash} = effect.spec;
			return {
				events: [{
					type: 'claims/wanted',
					job,
					name: createClaimName(team, idempotencyKey ?? job),
					bodyHash,
					isFirstSend: effect.spec.isFirstSend === true,
					nowMs,
				}],
				effects: [],
			};
		}

		case 'jobs/recordStart': {
			const {job, attempt, minion, spec} = effect;
			// Without a key nobody can send the job again, so there is nobody to keep the record for.
			return spec.idempotencyKey === undefined
				? {
					events: [{
						type: 'jobs/startRecorded', job, attempt, ok: true, nowMs,
					}],
					effects: [],
				}
				: {
					events: [{
						type: 'claims/starting', job, attempt, minion, nowMs,
					}],
					effects: [],
				};
		}

		case 'membership/changed': {
			return {
				events: [
					...listLostNodes(effect.view, former.membership.view).map(({node}): NodeEvent => ({type: 'claims/nodeLost', node, nowMs})),
					{type: 'membership/changed', view: effect.view, nowMs},
				],
				effects: [],
			};
		}

		case 'minions/changed': {
			return {
				events: [
					{type: 'minions/changed', minions: effect.minions, nowMs},
					{type: 'jobs/minionsChanged', minions: listPlaceableMinions(state), nowMs},
				],
				effects: [],
			};
		}
	}
}
