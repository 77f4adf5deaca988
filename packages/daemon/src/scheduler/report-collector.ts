/**
 * Collects, on a control host that does not lead, the reports of minions that tell the leader nothing new. They are answered
 * at once, and the leader learns from one message which minions have reported. With hundreds of minions, a message for each
 * report and its answer cost the leader as much as its decisions.
 */
import type {TimerService} from '@samphiremill/common';
import {isSameAmount, type IncarnationId, type Ledger} from '@samphiremill/core';
import {reportBundlePeriodMs} from './constants.js';
import type {MinionReport, SeenReport} from './types.js';

export type ReportCollectorOptions = {
	readonly timers: Pick<TimerService, 'getNow' | 'scheduleOnce'>;
	/** The ledger of this host, which may be behind that of the leader. */
	readonly getLedger: () => Ledger;
	/** Whether this host has heard from a leader a moment ago. */
	readonly isInContact: () => boolean;
	/** Tells the leader of reports, best effort: each minion reports again. */
	readonly send: (reports: readonly SeenReport[]) => void;
};

/** The collected reports of one control host. */
export type ReportCollector = {
	/** Returns whether the report was collected. Otherwise the leader has to answer it. */
	readonly collect: (report: MinionReport) => boolean;
};

const isKnown = ({incarnations}: Ledger, {record, isDraining}: MinionReport): boolean => {
	const known = incarnations.get(record.life);
	return known?.isDraining === isDraining
		&& known.record.address === record.address
		&& known.record.pool === record.pool
		&& known.record.worker === record.worker
		&& isSameAmount(known.record.capacity, record.capacity);
};

/** Creates a collector without any reports. */
export function createReportCollector({timers, getLedger, isInContact, send}: ReportCollectorOptions): ReportCollector {
	const collected = new Map<IncarnationId, {readonly sequence: number; readonly receivedAtMs: number}>();

	const sendCollected = () => {
		const nowMs = timers.getNow();
		const reports = [...collected].map(([life, {sequence, receivedAtMs}]): SeenReport => ({life, sequence, ageMs: nowMs - receivedAtMs}));
		collected.clear();
		send(reports);
	};

	return {
		collect(report) {
			if (!isInContact() || !isKnown(getLedger(), report)) {
				return false;
			}

			if (collected.size === 0) {
				timers.scheduleOnce(reportBundlePeriodMs, sendCollected);
			}

			const {record: {life}, sequence} = report;
			if (sequence >= (collected.get(life)?.sequence ?? sequence)) {
				collected.set(life, {sequence, receivedAtMs: timers.getNow()});
			}

			return true;
		},
	};
}
