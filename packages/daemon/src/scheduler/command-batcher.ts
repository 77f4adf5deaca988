/**
 * Group commit: commands that come while a proposal is under way go into the log together with the next
 * one, so that the number of commits follows the time a commit takes and not the number of commands.
 */
import type {LedgerCommand, LedgerOutcome} from '@samphiremill/core';

/** How a proposal to the log ended. */
export type ProposalResult
	= | {readonly type: 'applied'; readonly outcome: LedgerOutcome | undefined}
		| {readonly type: 'notProposed'}
		| {readonly type: 'unknown'};

type QueuedCommand = {
	readonly command: LedgerCommand;
	readonly settle: (decision: ProposalResult) => void;
};

const maximumPendingProposals = 1;
const maximumCommandsPerProposal = 256;
const maximumPayloadLengthPerProposal = 131_072;

const getOutcome = (decision: ProposalResult, position: number): ProposalResult => {
	if (decision.type !== 'applied') {
		return decision;
	}

	const {outcome} = decision;
	return {type: 'applied', outcome: outcome?.type === 'batch' ? outcome.outcomes[position] : undefined};
};

// All but jobs are small.
const getPayloadLength = (command: LedgerCommand) => command.type === 'job/accepted' ? command.job.specification.payload.length : 0;

const takeBatch = (queue: readonly QueuedCommand[]): readonly QueuedCommand[] => {
	let length = 0;
	const firstExcluded = queue.findIndex(({command}, position) => {
		length += getPayloadLength(command);
		return position >= maximumCommandsPerProposal || (position > 0 && length > maximumPayloadLengthPerProposal);
	});
	return firstExcluded === -1 ? queue : queue.slice(0, firstExcluded);
};

/**
 * @param propose - Proposes one command to the log. If it throws, nothing is known of its commands.
 * @param onError - Takes what `propose` threw.
 * @returns Proposes a command, alone or with others; they are applied in the order of the calls.
 */
export function createCommandBatcher(propose: (command: LedgerCommand) => Promise<ProposalResult>, onError: (err: unknown) => void): (command: LedgerCommand) => Promise<ProposalResult> {
	let queue: QueuedCommand[] = [];
	let pendingProposalCount = 0;
	let isFlushScheduled = false;

	// A proposal that throws may have got into the log, and the next one must not wait for it.
	const proposeSafely = async (command: LedgerCommand): Promise<ProposalResult> => {
		try {
			return await propose(command);
		} catch (err) {
			onError(err);
			return {type: 'unknown'};
		}
	};

	const proposeNext = async () => {
		const batch = takeBatch(queue);
		queue = queue.slice(batch.length);
		pendingProposalCount += 1;
		const [only] = batch;
		if (only !== undefined && batch.length === 1) {
			only.settle(await proposeSafely(only.command));
		} else {
			const decision = await proposeSafely({type: 'batch', commands: batch.map(({command}) => command)});
			for (const [position, {settle}] of batch.entries()) {
				settle(getOutcome(decision, position));
			}
		}

		pendingProposalCount -= 1;
		flush();
	};

	const flush = () => {
		isFlushScheduled = false;
		if (queue.length > 0 && pendingProposalCount < maximumPendingProposals) {
			void proposeNext();
			flush();
		}
	};

	return async command => new Promise(resolve => {
		queue.push({command, settle: resolve});
		if (!isFlushScheduled && pendingProposalCount < maximumPendingProposals) {
			isFlushScheduled = true;
			// What is decided in the same turn goes together.
			setImmediate(flush);
		}
	});
}
