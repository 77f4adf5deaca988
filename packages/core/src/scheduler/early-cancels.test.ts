import {toBrand, type JobId, type TeamId} from '@samphiremill/common';
import {expect, test} from 'vitest';
import {applyLedgerCommand} from './apply-ledger-command.js';
import {maximumCancelsPerId, maximumEarlyCancels} from './constants.js';
import {isCancelledEarly} from './early-cancels.js';
import {createLedger} from './ledger.js';
import {createLedgerSnapshot, restoreLedger} from './snapshot.js';
import type {Ledger} from './types.js';

const parse = () => undefined;
const teamA = toBrand<TeamId>('a');
const toId = (number: number) => toBrand<JobId>(number.toString(16).padStart(16, '0'));

const cancel = (ledger: Ledger, id: JobId, team: TeamId | undefined) => applyLedgerCommand(ledger, {
	type: 'job/cancelled', id, atMs: 0, caller: {team},
}, parse);

test('an early cancel binds the jobs that its caller may cancel, and a snapshot keeps it', () => {
	const ledger = createLedger();
	cancel(ledger, toId(1), teamA);
	cancel(ledger, toId(2), undefined);
	const restored = restoreLedger(createLedgerSnapshot(ledger), parse);
	const isBound = (id: number, team: TeamId | undefined) => isCancelledEarly(restored, {id: toId(id), team});
	expect({
		ofTeam: isBound(1, teamA), ofOther: isBound(1, toBrand<TeamId>('b')), open: isBound(1, undefined), byNobody: [isBound(2, teamA), isBound(2, undefined)], none: isBound(3, teamA),
	}).toEqual({
		ofTeam: true, ofOther: false, open: true, byNobody: [false, true], none: false,
	});
});

// Guards against a caller that fills the memory of the control hosts with cancels of jobs that never come.
test('early cancels are bounded, for all ids and for each, and the latest are kept', () => {
	const ledger = createLedger();
	for (let number = 0; number < maximumEarlyCancels + 5; number += 1) {
		cancel(ledger, toId(number), teamA);
	}

	const last = toId(maximumEarlyCancels + 4);
	for (let team = 0; team < maximumCancelsPerId + 3; team += 1) {
		cancel(ledger, last, toBrand<TeamId>(`team-${team}`));
	}

	expect({
		ids: ledger.earlyCancels.size, first: [...ledger.earlyCancels.keys()][0], ofLast: ledger.earlyCancels.get(last)?.map(({team}) => team),
	}).toEqual({ids: maximumEarlyCancels, first: toId(5), ofLast: ['team-3', 'team-4', 'team-5', 'team-6']});
});
