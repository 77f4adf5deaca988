/**
 * Tells the log which starts are certain, with commands that are committed anyway. What it does not say by the time of a change of leader, the
 * next leader takes for starts that the next incarnation of their minion may have carried out.
 */
import type {TimerService} from '@samphiremill/common';
import type {
	Ledger, LedgerCommand, RunKey, StartReport, UncertainStart,
} from '@samphiremill/core';

/** Most uncertain starts that a report lists. With more there is no report, so that all starts stay uncertain. */
export const maximumReportedStarts = 256;

/**
 * Least time between two looks at the uncertain starts, in milliseconds. Each goes through all of them, whether or not a report comes of it; commands
 * that could carry one come hundreds of times a second.
 */
export const startReportPeriodMs = 50;

/** Dependencies of the reports of one leader. */
export type StartReportOptions = {
	readonly timers: Pick<TimerService, 'getNow'>;
	readonly getLedger: () => Ledger;
	/** Whether the incarnation of the run has certainly started it. */
	readonly isCertain: (start: UncertainStart) => boolean;
};

/** The reports of one leader. */
export type StartReports = {
	/** Adds a report to a command that can carry one, if one is due and there is something to say; returns other commands as they are. */
	readonly addTo: (command: LedgerCommand) => LedgerCommand;
	/** Returns a report for a command of its own, if one is due that no command has carried. */
	readonly takeOverdue: () => StartReport | undefined;
};

/** Creates the reports of a new leader. */
export function createStartReports({timers, getLedger, isCertain}: StartReportOptions): StartReports {
	let lookedAtMs = Number.NEGATIVE_INFINITY;

	const listUncertain = (): readonly RunKey[] => {
		const uncertain: RunKey[] = [];
		for (const [key, start] of getLedger().uncertainStarts) {
			if (!isCertain(start)) {
				uncertain.push(key);
			}

			if (uncertain.length > maximumReportedStarts) {
				break;
			}
		}

		return uncertain;
	};

	const takeReport = (periodMs: number): StartReport | undefined => {
		const {uncertainStarts, assignmentCount} = getLedger();
		if (uncertainStarts.size === 0 || timers.getNow() - lookedAtMs < periodMs) {
			return undefined;
		}

		lookedAtMs = timers.getNow();
		const uncertain = listUncertain();
		if (uncertain.length === uncertainStarts.size || uncertain.length > maximumReportedStarts) {
			return undefined;
		}

		return {upTo: assignmentCount, uncertain};
	};

	return {
		addTo(command) {
			const canCarry = (command.type === 'runs/assigned' || command.type === 'runs/ended') && command.startReport === undefined;
			const startReport = canCarry ? takeReport(startReportPeriodMs) : undefined;
			return canCarry && startReport !== undefined ? {...command, startReport} : command;
		},
		takeOverdue: () => takeReport(2 * startReportPeriodMs),
	};
}
