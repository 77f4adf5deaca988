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
	let lookCount = 0;
	const isCertain = ({task}: UncertainStart) => {
		lookCount += 1;
		return certain.has(task);
	};

	return {
		timers, certain, reports: createStartReports({timers, getLedger: () => ledger, isCertain}), countLooks: () => lookCount,
	};
};

const getReport = (command: LedgerCommand) => 'startReport' in command ? command.startReport : undefined;

// Guards against reports that take more of the log than the commands that carry them.
test('a command carries a report if there is something to say, and no other one has carried one lately', () => {
	const {timers, certain, reports} = play(2);
	const take = () => getReport(reports.addTo(assigned));
	const taken = [take()];
	certain.add('a.0.0.0');
	timers.advance(startReportPeriodMs);
	taken.push(take(), take());
	timers.advance(startReportPeriodMs);
	taken.push(getReport(reports.addTo({type: 'term/begun', term: 1})), reports.takeOverdue());
	timers.advance(startReportPeriodMs);
	taken.push(reports.takeOverdue(), take());
	const said = {upTo: 1, uncertain: ['a.0.0.1#1']};
	expect(taken).toEqual([undefined, said, undefined, undefined, undefined, said, undefined]);
});

test('with too many uncertain starts there is no report', () => {
	const {timers, certain, reports} = play(maximumReportedStarts + 2);
	certain.add('a.0.0.0');
	const before = getReport(reports.addTo(assigned));
	certain.add('a.0.0.1');
	timers.advance(startReportPeriodMs);
	expect([before, getReport(reports.addTo(assigned))?.uncertain.length]).toEqual([undefined, maximumReportedStarts]);
});

// Each command of ends or starts looked at all uncertain starts while nothing could be reported.
test('however many commands come, the starts are looked at once in the period', () => {
	const {timers, reports, countLooks} = play(maximumReportedStarts + 2);
	const lookAt = (commands: number) => {
		const before = countLooks();
		for (let index = 0; index < commands; index += 1) {
			reports.addTo(assigned);
		}

		return countLooks() - before;
	};

	const first = lookAt(100);
	timers.advance(startReportPeriodMs);
	expect([first, lookAt(100)]).toEqual([maximumReportedStarts + 1, maximumReportedStarts + 1]);
});
