/**
 * The simulated replicated log: it commits commands in order, late, or not at all, and may lose an outcome.
 */
import {applyLedgerCommand, type LedgerCommand} from '@samphiremill/core';
import type {ProposalResult} from '../command-batcher.js';
import {commitMs} from './constants.js';
import type {Simulation} from './simulation.js';

/** After this time a proposal that is not committed gets the result `unknown`. */
const proposalTimeoutMs = 5000;

/** Proposes a command in the term of its proposer. */
export type Propose = (command: LedgerCommand, proposerTerm: number) => Promise<ProposalResult>;

/**
 * Creates the log of a simulation. As in the replicated log, entries keep their order, and a proposal that is not
 * committed in time gets the result `unknown`.
 *
 * @param simulation - The shared state; its ledger is what the log is applied to.
 * @param onCommand - Called with each command before it is applied.
 * @returns The function that proposes a command.
 */
export function createReplicatedLog(simulation: Simulation, onCommand: (command: LedgerCommand) => void): Propose {
	const {timers, faults, random, pause} = simulation;
	let lastProposal: Promise<void> = Promise.resolve();

	const takeCommitDelayMs = (command: LedgerCommand): number => {
		const types = command.type === 'batch' ? command.commands.map(({type}) => type) : [command.type];
		if (faults.delayedCommit === undefined || !types.includes(faults.delayedCommit.type)) {
			return commitMs;
		}

		const {delayMs} = faults.delayedCommit;
		faults.delayedCommit = undefined;
		simulation.recordFault(delayMs);
		return delayMs;
	};

	const apply = async (command: LedgerCommand, proposerTerm: number): Promise<ProposalResult> => {
		await pause(takeCommitDelayMs(command));
		// Proposals of a leader that is deposed, gone or stands still may still reach the log.
		const isCut = proposerTerm !== simulation.term || !(simulation.leaderProcesses.get(proposerTerm)?.isRunning() ?? true);
		if (isCut && random() < 0.5) {
			return {type: 'unknown'};
		}

		if (faults.droppedCommands?.types.includes(command.type) && timers.getNow() < faults.droppedCommands.untilMs) {
			return {type: 'unknown'};
		}

		onCommand(command);
		const outcome = applyLedgerCommand(simulation.ledger, command, simulation.parse);
		if (command.type === faults.lostOutcomeType) {
			faults.lostOutcomeType = undefined;
			simulation.recordFault();
			return {type: 'unknown'};
		}

		return proposerTerm === simulation.term ? {type: 'applied', outcome} : {type: 'unknown'};
	};

	return async (command, proposerTerm) => {
		// Awaited only by a process that does not run, so that the callbacks of the others keep their order.
		const process = simulation.leaderProcesses.get(proposerTerm);
		if (process?.isRunning() === false) {
			await process.waitUntilRunning();
		}

		const earlierProposals = lastProposal;
		const applied = (async (): Promise<ProposalResult> => {
			await earlierProposals;
			if (faults.logStalledUntilMs > timers.getNow()) {
				await pause(faults.logStalledUntilMs - timers.getNow());
			}

			return apply(command, proposerTerm);
		})();
		lastProposal = applied.then(() => undefined);
		return faults.logStalledUntilMs > timers.getNow()
			? Promise.race([applied, pause(proposalTimeoutMs).then((): ProposalResult => ({type: 'unknown'}))])
			: applied;
	};
}
