/**
 * Group commit: commands that come while a proposal is under way go into the log together with the next
 * one, so that the number of commits follows the time a commit takes and not the number of commands.
 */
import type {LedgerCommand, LedgerOutcome} from '@samphiremill/core';

/** How a proposal to the log ended. */
export type Decision
	= | {readonly type: 'applied'; readonly outcome: LedgerOutcome | undefined}
		| {readonly type: 'notProposed'}
		| {readonly type: 'unknown'};

type QueuedCommand = {
	readonly command: LedgerCommand;
	readonly settle: (decision: Decision) => void;
};

const maximumProposalsUnderWay = 1;
const maximumCommandsPerProposal = 256;

const getOutcome = (decision: Decision, position: number): Decision => {
	if (decision.type !== 'applied') {
		return decision;
	}

	const {outcome} = decision;
	return {type: 'applied', outcome: outcome?.type === 'batch' ? outcome.outcomes[position] : undefined};
};

/**
 * @param propose - Proposes one command to the log.
 * @returns Proposes a command, alone or with others; they are applied in the order of the calls.
 */
export function createCommandBatcher(propose: (command: LedgerCommand) => Promise<Decision>): (command: LedgerCommand) => Promise<Decision> {
	let queue: QueuedCommand[] = [];
	let underWay = 0;
	let isGathering = false;

	const proposeNext = async () => {
		const batch = queue.slice(0, maximumCommandsPerProposal);
		queue = queue.slice(batch.length);
		underWay += 1;
		const [only] = batch;
		if (only !== undefined && batch.length === 1) {
			only.settle(await propose(only.command));
		} else {
			const decision = await propose({type: 'batch', commands: batch.map(({command}) => command)});
			for (const [position, {settle}] of batch.entries()) {
				settle(getOutcome(decision, position));
			}
		}

		underWay -= 1;
		flush();
	};

	const flush = () => {
		isGathering = false;
		if (queue.length > 0 && underWay < maximumProposalsUnderWay) {
			void proposeNext();
			flush();
		}
	};

	return async command => new Promise(resolve => {
		queue.push({command, settle: resolve});
		if (!isGathering && underWay < maximumProposalsUnderWay) {
			isGathering = true;
			// What is decided in the same turn goes together.
			setImmediate(flush);
		}
	});
}
