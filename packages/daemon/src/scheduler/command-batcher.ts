/**
 * Group commit: commands that arrive while a proposal is pending, or soon after the last one began, are proposed together in
 * the next one. The number of commits thus depends on neither the number of commands nor the number of moments at which
 * they arrive: each commit costs the leader a message to each other host, and an answer.
 */
import {Buffer} from 'node:buffer';
import type {TimerService} from '@samphiremill/common';
import type {LedgerCommand, LedgerOutcome} from '@samphiremill/core';
import {getMostEndBytes, getMostReportBytes, mostBytesPerRun} from './command-parts.js';

/**
 * Result of a proposal to the replicated log; `unknown` if it may or may not have been applied. A command that could
 * not be applied is `notProposed`, since it never has an effect.
 */
export type ProposalResult
	= | {readonly type: 'applied'; readonly outcome: LedgerOutcome | undefined}
		| {readonly type: 'notProposed'}
	/** No entry of the log takes the command, now or later, so it must not be proposed again as it is. */
		| {readonly type: 'tooLarge'; readonly bytes: number}
		| {readonly type: 'unknown'};

type QueuedCommand = {
	readonly command: LedgerCommand;
	readonly bytes: number;
	readonly settle: (decision: ProposalResult) => void;
};

const maximumPendingProposals = 1;
const maximumCommandsPerProposal = 256;
const maximumPayloadLengthPerProposal = 131_072;
/**
 * Most bytes of one command and of several together. A proposal is one entry of the log, which has to fit into a frame of
 * 1 MiB between hosts: one that does not reaches no other host, and nothing after it is committed.
 */
export const maximumCommandBytes = 917_504;
const maximumBytesPerProposal = 524_288;

/** Most bytes of the commands that wait, while the log accepts nothing. Beyond it callers are refused at once. */
const maximumQueuedBytes = 16 * 1024 * 1024;

const rejectFailed = (decision: ProposalResult): ProposalResult => {
	if (decision.type !== 'applied' || decision.outcome?.type !== 'failed') {
		return decision;
	}

	return {type: decision.outcome.mayHaveEffect ? 'unknown' : 'notProposed'};
};

const getOutcome = (decision: ProposalResult, position: number): ProposalResult => {
	if (decision.type !== 'applied') {
		return decision;
	}

	const {outcome} = decision;
	return rejectFailed({type: 'applied', outcome: outcome?.type === 'batch' ? outcome.outcomes[position] : undefined});
};

// Only accepted jobs carry a payload.
const getPayloadLength = (command: LedgerCommand) => command.type === 'job/accepted' ? command.job.specification.payload.length : 0;

const mostBytesPerStartedJob = 32;

/** A bound up to this one is used as it is; several such commands still fit into a proposal. */
const largestUncountedBytes = maximumBytesPerProposal / 8;

// Most commands assign and end runs.
const boundBytes = (command: LedgerCommand): number => {
	if (command.type === 'runs/assigned') {
		return ((command.runs.length + 1) * mostBytesPerRun) + getMostReportBytes(command.startReport);
	}

	if (command.type === 'runs/ended' && command.loss === undefined) {
		const besidesEnds = mostBytesPerRun + ((command.startedJobs?.length ?? 0) * mostBytesPerStartedJob) + getMostReportBytes(command.startReport);
		return command.ends.reduce((sum, end) => sum + getMostEndBytes(end), besidesEnds);
	}

	return Number.POSITIVE_INFINITY;
};

/** Returns the bytes of a command as JSON, or an upper bound if that is small. */
const getBytes = (command: LedgerCommand): number => {
	const bound = boundBytes(command);
	return bound <= largestUncountedBytes ? bound : Buffer.byteLength(JSON.stringify(command));
};

const takeBatch = (queue: readonly QueuedCommand[]): readonly QueuedCommand[] => {
	let length = 0;
	let totalBytes = 0;
	const firstExcluded = queue.findIndex(({command, bytes}, position) => {
		length += getPayloadLength(command);
		totalBytes += bytes;
		const isTooLong = length > maximumPayloadLengthPerProposal || totalBytes > maximumBytesPerProposal;
		return position >= maximumCommandsPerProposal || (position > 0 && isTooLong);
	});
	return firstExcluded === -1 ? queue : queue.slice(0, firstExcluded);
};

/** Dependencies of a batcher. */
export type CommandBatcherOptions = {
	readonly timers: Pick<TimerService, 'getNow' | 'scheduleOnce'>;
	/** Proposes one command to the log. If it throws, the result of its commands is `unknown`. */
	readonly propose: (command: LedgerCommand) => Promise<ProposalResult>;
	/** Called with what `propose` threw. */
	readonly onError: (err: unknown) => void;
	/** Called with a command that no entry of the log takes, and its size. */
	readonly onTooLarge: (type: LedgerCommand['type'], bytes: number) => void;
	/** Least time between the beginnings of two proposals, in milliseconds, unless more waits than one proposal takes. */
	readonly spacingMs: number;
};

/**
 * Creates a function that proposes a command, alone or in a batch with others. Commands are applied in the
 * order of the calls. A command that is too large for the log, or that finds the queue full, is not proposed.
 */
export function createCommandBatcher({timers, propose, onError, onTooLarge, spacingMs}: CommandBatcherOptions): (command: LedgerCommand) => Promise<ProposalResult> {
	let lastBeganAtMs = Number.NEGATIVE_INFINITY;
	let queue: QueuedCommand[] = [];
	let queuedBytes = 0;
	let pendingProposalCount = 0;
	let isFlushScheduled = false;

	// A proposal that throws may still have reached the log, and must not block the next one.
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
		lastBeganAtMs = timers.getNow();
		queuedBytes -= batch.reduce((sum, {bytes}) => sum + bytes, 0);
		pendingProposalCount += 1;
		const [only] = batch;
		if (only !== undefined && batch.length === 1) {
			only.settle(rejectFailed(await proposeSafely(only.command)));
		} else {
			const decision = await proposeSafely({type: 'batch', commands: batch.map(({command}) => command)});
			for (const [position, {settle}] of batch.entries()) {
				settle(getOutcome(decision, position));
			}
		}

		pendingProposalCount -= 1;
		flush();
	};

	const getWaitMs = () => takeBatch(queue).length < queue.length ? 0 : lastBeganAtMs + spacingMs - timers.getNow();

	const flush = () => {
		isFlushScheduled = false;
		if (queue.length === 0 || pendingProposalCount >= maximumPendingProposals) {
			return;
		}

		const waitMs = getWaitMs();
		if (waitMs > 0) {
			isFlushScheduled = true;
			timers.scheduleOnce(waitMs, flush);
			return;
		}

		void proposeNext();
		flush();
	};

	return async command => new Promise(resolve => {
		const bytes = getBytes(command);
		if (bytes > maximumCommandBytes) {
			onTooLarge(command.type, bytes);
			resolve({type: 'tooLarge', bytes});
			return;
		}

		if (queuedBytes + bytes > maximumQueuedBytes) {
			resolve({type: 'notProposed'});
			return;
		}

		queue.push({command, bytes, settle: resolve});
		queuedBytes += bytes;
		if (!isFlushScheduled && pendingProposalCount < maximumPendingProposals) {
			isFlushScheduled = true;
			// Batches the commands of one turn of the event loop.
			setImmediate(flush);
		}
	});
}
