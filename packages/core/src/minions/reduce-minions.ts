/**
 * The directory of minions. A minion speaks to any entry host, which passes it on: announcements
 * and leaving at once, renewals in batches. A renewal of an unknown minion makes the receiver ask
 * for it, so the directories agree again after losses.
 */
import {
	toBrand, type MinionId, type MonotonicMs, type NodeId,
} from '@samphiremill/common';
import {Map as createMap} from 'immutable';
import type {KnownMinion, MembershipView, MinionAnnouncement} from '../membership/types.js';
import type {Step} from '../step.js';
import type {
	DirectoryEntry, MinionRenewal, MinionsConfig, MinionsEffect, MinionsEvent, MinionsMessage, MinionsState,
} from './types.js';

type MinionsStep = Step<MinionsState, MinionsEffect>;
type MinionReference = {readonly minion: MinionId; readonly incarnation: number; readonly nowMs: MonotonicMs};

/** @returns A directory that knows no minion and no peer. */
export function createMinionsState(): MinionsState {
	return {entries: createMap(), peers: [], renewalsSentAtMs: toBrand<MonotonicMs>(Number.NEGATIVE_INFINITY)};
}

function broadcast({peers}: MinionsState, message: MinionsMessage): readonly MinionsEffect[] {
	return peers.map(to => ({type: 'peer/send', to, message}));
}

function evaluateCondition(entry: DirectoryEntry, cfg: MinionsConfig, nowMs: MonotonicMs): KnownMinion['condition'] {
	if (entry.probe === 'failed' || nowMs - entry.renewedAtMs >= cfg.leaseMs) {
		return 'silent';
	}

	return entry.isLeaving ? 'leaving' : 'ready';
}

function createChangedEffects(entries: readonly DirectoryEntry[]): readonly MinionsEffect[] {
	return entries.length === 0 ? [] : [{type: 'minions/changed', minions: entries.map(entry => toKnownMinion(entry))}];
}

function toKnownMinion(entry: DirectoryEntry): KnownMinion {
	const {isLeaving, probe, hasUnsentRenewal: hasNews, leavingAtMs, ...known} = entry;
	return known;
}

/** Puts entries into the directory, with the condition that the time gives them. */
function putEntries(state: MinionsState, entries: readonly DirectoryEntry[], {cfg, nowMs}: {readonly cfg: MinionsConfig; readonly nowMs: MonotonicMs}): MinionsStep {
	const judged = entries.map(entry => ({...entry, condition: evaluateCondition(entry, cfg, nowMs)}));
	const changed = judged.filter(({minion, incarnation, condition}) => {
		const known = state.entries.get(minion);
		return known?.incarnation !== incarnation || known.condition !== condition;
	});
	return {
		state: {...state, entries: state.entries.merge(judged.map(entry => [entry.minion, entry]))},
		effects: createChangedEffects(changed),
	};
}

function createEntry(announcement: MinionAnnouncement, nowMs: MonotonicMs): DirectoryEntry {
	return {
		...announcement,
		condition: 'ready',
		renewedAtMs: nowMs,
		isLeaving: false,
		probe: 'none',
		hasUnsentRenewal: false,
		leavingAtMs: undefined,
	};
}

function isNewIncarnation(state: MinionsState, {minion, incarnation}: MinionAnnouncement): boolean {
	const known = state.entries.get(minion);
	return known === undefined || incarnation > known.incarnation;
}

function handleAnnounced(state: MinionsState, {announcement, nowMs}: MinionsEvent & {type: 'minions/announced'}, cfg: MinionsConfig): MinionsStep {
	if (!isNewIncarnation(state, announcement)) {
		return handleRenewed(state, {minion: announcement.minion, incarnation: announcement.incarnation, nowMs}, cfg);
	}

	const step = putEntries(state, [createEntry(announcement, nowMs)], {cfg, nowMs});
	return {
		state: step.state,
		effects: [...broadcast(state, {type: 'minions/announced', announcements: [announcement]}), ...step.effects],
	};
}

function getEntry(state: MinionsState, {minion, incarnation}: Omit<MinionReference, 'nowMs'>): DirectoryEntry | undefined {
	const entry = state.entries.get(minion);
	return entry?.incarnation === incarnation ? entry : undefined;
}

function renewEntry(entry: DirectoryEntry, heardAtMs: MonotonicMs): DirectoryEntry {
	return heardAtMs > entry.renewedAtMs ? {...entry, renewedAtMs: heardAtMs, probe: 'none'} : entry;
}

function handleRenewed(state: MinionsState, reference: MinionReference, cfg: MinionsConfig): MinionsStep {
	const entry = getEntry(state, reference);
	return entry === undefined
		? {state, effects: []}
		: putEntries(state, [{...renewEntry(entry, reference.nowMs), hasUnsentRenewal: true}], {cfg, nowMs: reference.nowMs});
}

function markLeaving(entry: DirectoryEntry, nowMs: MonotonicMs): DirectoryEntry {
	return entry.isLeaving ? entry : {...entry, isLeaving: true, leavingAtMs: nowMs};
}

function handleLeaving(state: MinionsState, reference: MinionReference, cfg: MinionsConfig): MinionsStep {
	const entry = getEntry(state, reference);
	if (entry === undefined) {
		return {state, effects: []};
	}

	const {minion, incarnation, nowMs} = reference;
	const step = putEntries(state, [markLeaving(renewEntry(entry, nowMs), nowMs)], {cfg, nowMs});
	const renewal = {
		minion, incarnation, isLeaving: true, heardAgoMs: 0,
	};
	return {
		state: step.state,
		effects: [...broadcast(state, {type: 'minions/renewed', renewals: [renewal]}), ...step.effects],
	};
}

function handleConnectionMute(state: MinionsState, reference: MinionReference, cfg: MinionsConfig): MinionsStep {
	const entry = getEntry(state, reference);
	if (entry?.probe !== 'none') {
		return {state, effects: []};
	}

	const step = putEntries(state, [{...entry, probe: 'pending'}], {cfg, nowMs: reference.nowMs});
	return {state: step.state, effects: [...step.effects, {type: 'minions/probe', minion: toKnownMinion(entry)}]};
}

function handleProbed(state: MinionsState, event: MinionsEvent & {type: 'minions/probed'}, cfg: MinionsConfig): MinionsStep {
	const entry = getEntry(state, event);
	if (entry?.probe !== 'pending') {
		return {state, effects: []};
	}

	const probe = event.isReachable ? 'none' : 'failed';
	return putEntries(state, [{...entry, probe}], {cfg, nowMs: event.nowMs});
}

function createRenewal(entry: DirectoryEntry, nowMs: MonotonicMs): MinionRenewal {
	const {minion, incarnation, isLeaving, renewedAtMs} = entry;
	return {
		minion, incarnation, isLeaving, heardAgoMs: nowMs - renewedAtMs,
	};
}

function shouldRepeatLeaving({leavingAtMs}: DirectoryEntry, cfg: MinionsConfig, nowMs: MonotonicMs): boolean {
	return leavingAtMs !== undefined && nowMs - leavingAtMs < cfg.leaseMs;
}

function forwardRenewals(state: MinionsState, cfg: MinionsConfig, nowMs: MonotonicMs): MinionsStep {
	if (nowMs - state.renewalsSentAtMs < cfg.renewalPeriodMs) {
		return {state, effects: []};
	}

	// A notice of leaving is repeated, since a lost one would let new work through.
	const entries = [...state.entries.values()].filter(entry => entry.hasUnsentRenewal || shouldRepeatLeaving(entry, cfg, nowMs));
	const renewals = entries.map(entry => createRenewal(entry, nowMs));
	const sent = entries.map((entry): [MinionId, DirectoryEntry] => [entry.minion, {...entry, hasUnsentRenewal: false}]);
	return {
		state: {...state, renewalsSentAtMs: nowMs, entries: state.entries.merge(sent)},
		effects: renewals.length === 0 ? [] : broadcast(state, {type: 'minions/renewed', renewals}),
	};
}

function handleTick(state: MinionsState, nowMs: MonotonicMs, cfg: MinionsConfig): MinionsStep {
	const passed = forwardRenewals(state, cfg, nowMs);
	const overdue = [...passed.state.entries.values()].filter(entry => evaluateCondition(entry, cfg, nowMs) !== entry.condition);
	const judged = putEntries(passed.state, overdue, {cfg, nowMs});
	const entries = judged.state.entries.filter(({renewedAtMs}) => nowMs - renewedAtMs < cfg.forgetAfterMs);
	return {
		state: entries.size === judged.state.entries.size ? judged.state : {...judged.state, entries},
		effects: [...passed.effects, ...judged.effects],
	};
}

function createSyncEffects(to: NodeId, {entries, nowMs}: {readonly entries: readonly DirectoryEntry[]; readonly nowMs: MonotonicMs}): readonly MinionsEffect[] {
	if (entries.length === 0) {
		return [];
	}

	const announcements = entries.map(entry => toAnnouncement(entry));
	const renewals = entries.map(entry => createRenewal(entry, nowMs));
	return [
		{type: 'peer/send', to, message: {type: 'minions/announced', announcements}},
		{type: 'peer/send', to, message: {type: 'minions/renewed', renewals}},
	];
}

function toAnnouncement(entry: DirectoryEntry): MinionAnnouncement {
	const {condition, renewedAtMs, ...announcement} = toKnownMinion(entry);
	return announcement;
}

function listLivePeersOf(view: MembershipView, self: NodeId): readonly NodeId[] {
	const dataCentre = view.members.find(({node}) => node === self)?.dataCentre;
	return view.members
		.filter(member => member.dataCentre === dataCentre && member.node !== self)
		.filter(({health}) => health === 'alive' || health === 'suspect')
		.map(({node}) => node);
}

function handleMembershipChanged(state: MinionsState, {view, nowMs}: MinionsEvent & {type: 'membership/changed'}, cfg: MinionsConfig): MinionsStep {
	const peers = listLivePeersOf(view, cfg.self);
	const entries = [...state.entries.values()].filter(({condition}) => condition !== 'silent');
	const joined = peers.filter(peer => !state.peers.includes(peer));
	return {
		state: {...state, peers},
		effects: joined.flatMap(peer => createSyncEffects(peer, {entries, nowMs})),
	};
}

function receiveAnnounced(state: MinionsState, announcements: readonly MinionAnnouncement[], context: {readonly cfg: MinionsConfig; readonly nowMs: MonotonicMs}): MinionsStep {
	const entries = announcements
		.filter(announcement => isNewIncarnation(state, announcement))
		.map(announcement => createEntry(announcement, context.nowMs));
	return putEntries(state, entries, context);
}

function receiveRenewed(state: MinionsState, {from, renewals, nowMs}: {
	readonly from: NodeId;
	readonly renewals: readonly MinionRenewal[];
	readonly nowMs: MonotonicMs;
}, cfg: MinionsConfig): MinionsStep {
	const entries = renewals.flatMap(({minion, incarnation, isLeaving, heardAgoMs}) => {
		const entry = getEntry(state, {minion, incarnation});
		if (entry === undefined) {
			return [];
		}

		const renewed = renewEntry(entry, toBrand<MonotonicMs>(nowMs - heardAgoMs));
		return [isLeaving ? markLeaving(renewed, nowMs) : renewed];
	});
	const unknown = renewals.filter(({minion, incarnation}) => incarnation > (state.entries.get(minion)?.incarnation ?? 0));
	const step = putEntries(state, entries, {cfg, nowMs});
	return unknown.length === 0
		? step
		: {
			state: step.state,
			effects: [
				...step.effects,
				{type: 'peer/send', to: from, message: {type: 'minions/wanted', minions: unknown.map(({minion}) => minion)}},
			],
		};
}

function receiveMessage(state: MinionsState, {from, message, nowMs}: MinionsEvent & {type: 'peer/received'}, cfg: MinionsConfig): MinionsStep {
	switch (message.type) {
		case 'minions/announced': {
			return receiveAnnounced(state, message.announcements, {cfg, nowMs});
		}

		case 'minions/renewed': {
			return receiveRenewed(state, {from, renewals: message.renewals, nowMs}, cfg);
		}

		case 'minions/wanted': {
			const entries = message.minions.flatMap(minion => state.entries.get(minion) ?? []);
			return {state, effects: createSyncEffects(from, {entries, nowMs})};
		}
	}
}

/**
 * Moves the directory on by one event.
 *
 * @param state - The directory as it was.
 * @param event - What happened.
 * @param cfg - Timings in milliseconds, and this node's id.
 * @returns The directory as it is, and what to send, probe and tell the other parts.
 */
export function reduceMinions(state: MinionsState, event: MinionsEvent, cfg: MinionsConfig): MinionsStep {
	switch (event.type) {
		case 'minions/announced': {
			return handleAnnounced(state, event, cfg);
		}

		case 'minions/renewed': {
			return handleRenewed(state, event, cfg);
		}

		case 'minions/leaving': {
			return handleLeaving(state, event, cfg);
		}

		case 'minions/connectionMute': {
			return handleConnectionMute(state, event, cfg);
		}

		case 'minions/probed': {
			return handleProbed(state, event, cfg);
		}

		case 'minions/tick': {
			return handleTick(state, event.nowMs, cfg);
		}

		case 'membership/changed': {
			return handleMembershipChanged(state, event, cfg);
		}

		case 'peer/received': {
			return receiveMessage(state, event, cfg);
		}
	}
}
