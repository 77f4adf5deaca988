import type {WallClockMs} from '@samphiremill/common';
import type {JobsDecision} from '@samphiremill/core';
import {List} from 'immutable';
import type {ExplainedDecision, ExplainSubject, Explanation} from '../operators/index.js';

/** How many decisions are remembered for `explain`. */
const rememberedDecisions = 2000;

type RememberedDecision = {
	readonly atMs: WallClockMs;
	readonly decision: JobsDecision;
};

/** The latest decisions of this entry host. */
export type DecisionHistory = {
	readonly add: (decision: JobsDecision, atMs: WallClockMs) => void;
	readonly explain: (subject: ExplainSubject) => Explanation | undefined;
};

const concerns = (decision: JobsDecision, subject: ExplainSubject): boolean => subject.type === 'job'
	? 'job' in decision && decision.job === subject.job
	: 'worker' in decision && decision.worker === subject.worker;

const getReason = (decision: JobsDecision): string => 'reason' in decision
	? decision.reason
	: `${decision.failuresCounted} failures in a row`;

const toExplained = ({atMs, decision}: RememberedDecision): ExplainedDecision => {
	const {kind, ...details} = decision;
	return {
		atMs, decision: kind, reason: getReason(decision), details,
	};
};

/** @returns An empty history that forgets the oldest decisions first. */
export function createDecisionHistory(): DecisionHistory {
	let remembered = List<RememberedDecision>();
	return {
		add(decision, atMs) {
			const longer = remembered.push({atMs, decision});
			remembered = longer.size > rememberedDecisions ? longer.shift() : longer;
		},
		explain(subject) {
			const decisions = [...remembered].filter(({decision}) => concerns(decision, subject)).map(entry => toExplained(entry));
			return decisions.length === 0 ? undefined : {decisions};
		},
	};
}

