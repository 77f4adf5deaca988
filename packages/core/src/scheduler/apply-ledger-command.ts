import {assertNever, describeError} from '@samphiremill/common';
import {acceptJob} from './actions/accept-job.js';
import {assignRuns} from './actions/assign-runs.js';
import {cancelJob} from './actions/cancel-job.js';
import {
	addMinion, recordMinionDraining, removeMinion, resizeMinion, settleMinion,
} from './actions/change-minions.js';
import {recordMaintenanceStarted, recordMaintenanceOrdered, startWave} from './actions/change-waves.js';
import {endRuns} from './actions/end-runs.js';
import {recordWorkerOrderEnded, recordWorkerOrdered} from './actions/record-worker-orders.js';
import {replaceConfiguration} from './actions/replace-configuration.js';
import {findCommandFault} from './command-form.js';
import {forgetJob} from './ledger.js';
import {forgetArrivedStarts, recordStartsUnderWay} from './starts-under-way.js';
import {applyStartReport} from './uncertain-starts.js';
import type {
	Ledger, LedgerCommand, LedgerOutcome, ParseConfiguration, StartedJobs,
} from './types.js';

const ignored: LedgerOutcome = {type: 'ignored'};

const beginTerm = (ledger: Ledger, term: number): LedgerOutcome => {
	if (term <= ledger.term) {
		return ignored;
	}

	ledger.term = term;
	return {type: 'applied'};
};

const confirmStarts = (ledger: Ledger, jobs: StartedJobs) => {
	for (const id of jobs) {
		const job = ledger.jobs.get(id);
		if (job !== undefined) {
			job.isStartConfirmed = true;
		}
	}
};

// eslint-disable-next-line complexity -- one case for each type of command
const applyWellFormed = (ledger: Ledger, command: LedgerCommand, parse: ParseConfiguration): LedgerOutcome => {
	switch (command.type) {
		case 'term/begun': {
			return beginTerm(ledger, command.term);
		}

		case 'configuration/replaced': {
			return replaceConfiguration(ledger, command.document, parse);
		}

		case 'job/accepted': {
			return acceptJob(ledger, command);
		}

		case 'job/cancelled': {
			return cancelJob(ledger, command);
		}

		case 'runs/assigned': {
			return assignRuns(ledger, command);
		}

		case 'runs/ended': {
			return endRuns(ledger, command);
		}

		case 'minion/joined': {
			return addMinion(ledger, command);
		}

		case 'minion/left': {
			return removeMinion(ledger, command.life, command.loss && {loss: command.loss});
		}

		case 'minion/resized': {
			return resizeMinion(ledger, command.life, command);
		}

		case 'minion/draining': {
			return recordMinionDraining(ledger, command.life);
		}

		case 'minion/settled': {
			return settleMinion(ledger, command.life);
		}

		case 'starts/underWay': {
			recordStartsUnderWay(ledger, command.starts);
			forgetArrivedStarts(ledger, command.arrived);
			return {type: 'applied'};
		}

		case 'wave/started': {
			return startWave(ledger, command.wave);
		}

		case 'wave/workerOrdered': {
			return recordMaintenanceOrdered(ledger, command);
		}

		case 'wave/workerBegun': {
			return recordMaintenanceStarted(ledger, command);
		}

		case 'worker/ordered': {
			return recordWorkerOrdered(ledger, command);
		}

		case 'worker/orderEnded': {
			return recordWorkerOrderEnded(ledger, command);
		}

		case 'controlHost/joined': {
			ledger.controlHosts.set(command.record.node, command.record);
			return {type: 'applied'};
		}

		case 'jobs/forgotten': {
			for (const id of command.ids) {
				const job = ledger.jobs.get(id);
				if (job !== undefined) {
					forgetJob(ledger, job);
				}
			}

			return {type: 'applied'};
		}

		case 'batch': {
			return {type: 'batch', outcomes: command.commands.map(part => applyLedgerCommand(ledger, part, parse))};
		}

		default: {
			return assertNever(command);
		}
	}
};

/**
 * Applies one committed command to the ledger, in place. Never throws: every host applies each entry, again after each
 * restart, so one command that cannot be applied would otherwise stop them all. Its outcome is `failed`, and a
 * malformed command changes nothing.
 */
export function applyLedgerCommand(ledger: Ledger, command: LedgerCommand, parse: ParseConfiguration): LedgerOutcome {
	const fault = findCommandFault(command);
	if (fault !== undefined) {
		return {type: 'failed', reason: fault, mayHaveEffect: false};
	}

	// Commands of a replaced leader may be committed after the term of its successor has started.
	if ('term' in command && command.type !== 'term/begun' && command.term !== ledger.term) {
		return ignored;
	}

	try {
		if ('startedJobs' in command && command.startedJobs !== undefined) {
			confirmStarts(ledger, command.startedJobs);
		}

		if ('startReport' in command && command.startReport !== undefined) {
			applyStartReport(ledger, command.startReport);
		}

		return applyWellFormed(ledger, command, parse);
	} catch (err) {
		return {type: 'failed', reason: describeError(err), mayHaveEffect: true};
	}
}
