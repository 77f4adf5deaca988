/**
 * Tells the log which starts are certain, with commands that are committed anyway. What it does not say by the time of a change of leader, the
 * next leader takes for starts that the next incarnation of their minion may have carried out.
 */
import type {
	Ledger, LedgerCommand, RunKey, StartReport, UncertainStart,
} from '@samphiremill/core';

/** Most uncertain starts that a report lists. With more there is no report, so that all starts stay uncertain. */
export const maximumReportedStarts = 256;

/** Dependencies of the reports of one leader. */
export type StartReportOptions = {
	readonly getLedger: () => Ledger;
	/** Whether the incarnation of the run has certainly started it. */
	readonly isCertain: (start: UncertainStart) => boolean;
};

/** The reports of one leader. */
export type StartReports = {
	/** Adds a report to a command that can carry one, if there is something to say; returns other commands as they are. */
	readonly addTo: (command: LedgerCommand) => LedgerCommand;
	/** Returns a report for a command of its own, if there is something to say that no command has carried since the last call. */
	readonly takeOverdue: () => StartReport | undefined;
};

/** Creates the reports of a new leader. */
export function createStartReports({getLedger, isCertain}: StartReportOptions): StartReports {
	let hasReported = false;

	const createReport = (): StartReport | undefined => {
		const {uncertainStarts, assignmentCount} = getLedger();
		const uncertain: RunKey[] = [];
		for (const [key, start] of uncertainStarts) {
			if (!isCertain(start)) {
				uncertain.push(key);
			}
		}

		const isUseful = uncertain.length < uncertainStarts.size && uncertain.length <= maximumReportedStarts;
		return isUseful ? {upTo: assignmentCount, uncertain} : undefined;
	};

	return {
		addTo(command) {
			if (command.type !== 'runs/assigned' && command.type !== 'runs/ended') {
				return command;
			}

			const startReport = command.startReport ?? createReport();
			hasReported ||= startReport !== undefined;
			return startReport === undefined ? command : {...command, startReport};
		},
		takeOverdue() {
			const isOverdue = !hasReported;
			hasReported = false;
			return isOverdue ? createReport() : undefined;
		},
	};
}
