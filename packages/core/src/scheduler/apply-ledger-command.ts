import {assertNever} from '@samphiremill/common';
import {acceptJob} from './actions/accept-job.js';
import {assignRuns} from './actions/assign-runs.js';
import {cancelJob} from './actions/cancel-job.js';
import {addMinion, recordMinionDraining, removeMinion} from './actions/change-minions.js';
import {recordMaintenanceStarted, recordMaintenanceOrdered, startWave} from './actions/change-waves.js';
import {endRuns} from './actions/end-runs.js';
import {recordWorkerOrderEnded, recordWorkerOrdered} from './actions/note-worker-orders.js';
import {replaceConfiguration} from './actions/replace-configuration.js';
import type {
	Ledger, LedgerCommand, LedgerOutcome, ParseConfiguration,
} from './types.js';

const ignored: LedgerOutcome = {type: 'ignored'};

const beginTerm = (ledger: Ledger, term: number): LedgerOutcome => {
	if (term <= ledger.term) {
		return ignored;
	}

	ledger.term = term;
	return {type: 'applied'};
};

/**
 * Applies one committed command to the ledger, in place.
 *
 * @param ledger - The ledger.
 * @param command - The command.
 * @param parse - Reads a configuration's text.
 * @returns What became of the command.
 */
export function applyLedgerCommand(ledger: Ledger, command: LedgerCommand, parse: ParseConfiguration): LedgerOutcome {
	// A leader that was replaced may still have decisions on their way into the log.
	if ('term' in command && command.type !== 'term/begun' && command.term !== ledger.term) {
		return ignored;
	}

	switch (command.type) {
		case 'term/begun': {
			return beginTerm(ledger, command.term);
		}

		case 'configuration/replaced': {
			return replaceConfiguration(ledger, command.document, parse);
		}

		case 'job/accepted': {
			return acceptJob(ledger, command.job);
		}

		case 'job/cancelled': {
			return cancelJob(ledger, command);
		}

		case 'runs/assigned': {
			return assignRuns(ledger, command.runs);
		}

		case 'runs/ended': {
			return endRuns(ledger, command);
		}

		case 'minion/joined': {
			return addMinion(ledger, command.record);
		}

		case 'minion/left': {
			return removeMinion(ledger, command.life);
		}

		case 'minion/draining': {
			return recordMinionDraining(ledger, command.life);
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
				ledger.jobs.delete(id);
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
}
