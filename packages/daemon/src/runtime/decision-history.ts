import type {WallClockMs} from '@samphiremill/common';
import type {JobsDecision} from '@samphiremill/core';
import {List} from 'immutable';
import type {ExplainedDecision, ExplainSubject, Explanation} from '../operators/index.js';

/** How many decisions are kept for `explain`. */
const maximumDecisions = 2000;

type RecordedDecision = {
	readonly atMs: WallClockMs;
	readonly decision: JobsDecision;
};

/** The most recent decisions of this entry host. */
export type DecisionHistory = {
	readonly add: (decision: JobsDecision, atMs: WallClockMs) => void;
	readonly explain: (subject: ExplainSubject) => Explanation | undefined;
};

const isAbout = (decision: JobsDecision, subject: ExplainSubject): boolean => subject.type === 'job'
	? 'job' in decision && decision.job === subject.job
	: 'worker' in decision && decision.worker === subject.worker;

const getReason = (decision: JobsDecision): string => 'reason' in decision
	? decision.reason
	: `${decision.failuresCounted} failures in a row`;

const toExplainedDecision = ({atMs, decision}: RecordedDecision): ExplainedDecision => {
	const {kind, ...details} = decision;
	return {
		atMs, decision: kind, reason: getReason(decision), details,
	};
};

/** Creates an empty history that discards the oldest decisions first. */
export function createDecisionHistory(): DecisionHistory {
	let decisions = List<RecordedDecision>();
	return {
		add(decision, atMs) {
			const extended = decisions.push({atMs, decision});
			decisions = extended.size > maximumDecisions ? extended.shift() : extended;
		},
		explain(subject) {
			const explained = [...decisions].filter(({decision}) => isAbout(decision, subject)).map(entry => toExplainedDecision(entry));
			return explained.length === 0 ? undefined : {decisions: explained};
		},
	};
}

