/**
 * Lets minions leave: their tasks are stopped first, so that none is assigned elsewhere while it still runs.
 */
import {waitFor, type TimerService} from '@samphiremill/common';
import type {IncarnationId, Ledger, LedgerCommand} from '@samphiremill/core';
import type {StructuredLogger} from '../runtime/types.js';
import {departurePollPeriodMs, departureTimeoutMs, lapsingDepartureTimeoutMs} from './constants.js';
import type {MinionSession} from './minion-session.js';

/** Dependencies of departures. */
export type DepartureOptions = {
	readonly term: number;
	readonly timers: TimerService;
	readonly log: StructuredLogger;
	readonly getLedger: () => Ledger;
	/** Resolves to whether the command was committed in this term. */
	readonly commit: (command: LedgerCommand) => Promise<boolean>;
	/** Called once a minion whose leave was confirmed early is removed. */
	readonly onChanged: () => void;
};

/**
 * Creates the departures of a leader.
 *
 * @returns A function that completes the departure of one minion, and resolves to whether the minion may end.
 */
export function createDepartures({term, timers, log, getLedger, commit, onChanged}: DepartureOptions): (session: MinionSession) => Promise<boolean> {
	const hasRuns = (life: IncarnationId) => (getLedger().incarnations.get(life)?.runs.size ?? 0) > 0;

	const waitForRuns = async (life: IncarnationId, timeoutMs: number, isHopeless: () => boolean = () => false) => {
		const untilMs = timers.getNow() + timeoutMs;
		while (hasRuns(life) && timers.getNow() < untilMs && !isHopeless()) {
			await waitFor(timers, departurePollPeriodMs); // eslint-disable-line no-await-in-loop -- polls until no runs are left
		}
	};

	// The minion keeps running its tasks until it has its answer. Its runs are stopped first, so that no task is assigned elsewhere while it still runs.
	const stopRuns = async ({record: {life}, listRuns, stop, isRefusingConnections}: MinionSession) => {
		for (const {task} of listRuns()) {
			stop(task, 'its minion is leaving');
		}

		await waitForRuns(life, departureTimeoutMs, isRefusingConnections);
	};

	const removeDeparted = async ({record: {minion, life}, listRuns}: MinionSession): Promise<boolean> => {
		const hasLeft = !hasRuns(life) && await commit({type: 'minion/left', term, life});
		log.info(`minion ${minion} ${hasLeft ? 'left' : 'is leaving and still has runs'}`, {minion, life, runs: listRuns().length});
		return hasLeft;
	};

	// No stop reaches a minion that listens no more, and it ends only with its answer. Its runs count until their lease is over.
	const removeOnceLapsed = async (session: MinionSession) => {
		await waitForRuns(session.record.life, lapsingDepartureTimeoutMs);
		await removeDeparted(session);
		onChanged();
	};

	return async session => {
		const {minion, life} = session.record;
		const isDraining = getLedger().incarnations.get(life)?.isDraining === true || await commit({type: 'minion/draining', term, life});
		if (!isDraining) {
			return false;
		}

		await stopRuns(session);
		if (!hasRuns(life) || !session.isRefusingConnections()) {
			return removeDeparted(session);
		}

		log.info(`minion ${minion} is leaving, and no process listens at its address: its runs count until their lease is over`, {minion, life, runs: session.listRuns().length});
		void removeOnceLapsed(session);
		return true;
	};
}
