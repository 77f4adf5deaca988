/**
 * The decisions of the scheduler that can be replaced one by one. They are pure: state goes in, a decision comes out.
 */
import {
	admitJob, compareReadySteps, forecastBursts, getExpectedInflow, planWorkerMoves, type CompareReadySteps,
} from '@samphiremill/core';

/** The replaceable decisions. */
export type SchedulerPolicy = {
	/** Accepts or refuses a submitted job. */
	readonly admitJob: typeof admitJob;
	/** Orders the steps that may start. */
	readonly compareReadySteps: CompareReadySteps;
	/** Predicts the next bursts of demand. */
	readonly forecastBursts: typeof forecastBursts;
	/** Estimates the inflow that a pool has to be sized for. */
	readonly getExpectedInflow: typeof getExpectedInflow;
	/** Plans moves of workers between pools. */
	readonly planWorkerMoves: typeof planWorkerMoves;
};

/** The decisions that are used unless others are given. */
export const defaultPolicy: SchedulerPolicy = {
	admitJob, compareReadySteps, forecastBursts, getExpectedInflow, planWorkerMoves,
};
