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
const maximumPayloadPerProposal = 131_072;

const getOutcome = (decision: Decision, position: number): Decision => {
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
	const firstBeyond = queue.findIndex(({command}, position) => {
		length += getPayloadLength(command);
		return position >= maximumCommandsPerProposal || (position > 0 && length > maximumPayloadPerProposal);
	});
	return firstBeyond === -1 ? queue : queue.slice(0, firstBeyond);
};

/**
 * @param propose - Proposes one command to the log. If it throws, nothing is known of its commands.
 * @param onError - Takes what `propose` threw.
 * @returns Proposes a command, alone or with others; they are applied in the order of the calls.
 */
export function createCommandBatcher(propose: (command: LedgerCommand) => Promise<Decision>, onError: (err: unknown) => void): (command: LedgerCommand) => Promise<Decision> {
	let queue: QueuedCommand[] = [];
	let underWay = 0;
	let isGathering = false;

	// A proposal that throws may have got into the log, and the next one must not wait for it.
	const decide = async (command: LedgerCommand): Promise<Decision> => {
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
		underWay += 1;
		const [only] = batch;
		if (only !== undefined && batch.length === 1) {
			only.settle(await decide(only.command));
		} else {
			const decision = await decide({type: 'batch', commands: batch.map(({command}) => command)});
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
