import {createVirtualTimerService, toBrand} from '@samphiremill/common';
import {
	createLedger, createRunKey, type IncarnationId, type LedgerCommand, type TaskId, type UncertainStart,
} from '@samphiremill/core';
import {expect, test} from 'vitest';
import {createStartReports, maximumReportedStarts, startReportPeriodMs} from './start-reports.js';

const assigned: LedgerCommand = {
	type: 'runs/assigned', term: 1, runs: [], keepsLimits: true,
};

const play = (count: number) => {
	const timers = createVirtualTimerService(0);
	const ledger = createLedger();
	const certain = new Set<string>();
	for (let index = 0; index < count; index += 1) {
		const start: UncertainStart = {
			task: toBrand<TaskId>(`a.0.0.${index}`), run: 1, life: toBrand<IncarnationId>('i-1@1'), assignment: 1,
		};
		ledger.uncertainStarts.set(createRunKey(start), start);
	}

	ledger.assignmentCount = 1;
	return {timers, certain, reports: createStartReports({timers, getLedger: () => ledger, isCertain: ({task}) => certain.has(task)})};
};

const getReport = (command: LedgerCommand) => 'startReport' in command ? command.startReport : undefined;

// Guards against reports that take more of the log than the commands that carry them.
test('a command carries a report if there is something to say, and no other one has carried one lately', () => {
	const {timers, certain, reports} = play(2);
	const take = () => getReport(reports.addTo(assigned));
	const taken = [take()];
	certain.add('a.0.0.0');
	taken.push(take(), take());
	timers.advance(startReportPeriodMs);
	taken.push(getReport(reports.addTo({type: 'term/begun', term: 1})), reports.takeOverdue());
	timers.advance(startReportPeriodMs);
	taken.push(reports.takeOverdue(), take());
	const said = {upTo: 1, uncertain: ['a.0.0.1#1']};
	expect(taken).toEqual([undefined, said, undefined, undefined, undefined, said, undefined]);
});

test('with too many uncertain starts there is no report', () => {
	const {certain, reports} = play(maximumReportedStarts + 2);
	certain.add('a.0.0.0');
	const before = getReport(reports.addTo(assigned));
	certain.add('a.0.0.1');
	expect([before, getReport(reports.addTo(assigned))?.uncertain.length]).toEqual([undefined, maximumReportedStarts]);
});
