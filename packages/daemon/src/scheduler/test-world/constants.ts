/**
 * The fleet of the simulation and its times, in virtual milliseconds.
 */
import {
	toBrand, type PoolId, type QueueId, type TeamId,
} from '@samphiremill/common';

export const pool = toBrand<PoolId>('counter');
export const standbyPool = toBrand<PoolId>('reserve');
export const queue = toBrand<QueueId>('reservations');
export const team = toBrand<TeamId>('parish');
export const host = 'parish.example';
export const pathPrefix = '/reservations/';
export const key = 'key-1';
export const otherTeam = toBrand<TeamId>('other parish');
/** The key of the second team. */
export const otherTeamKey = 'key-2';
export const maximumStopMs = 300;
export const commitMs = 8;
export const stepMs = 5;
export const settleMs = 1500;
export const maintenanceMs = 2000;
export const orderLeaseMs = 3000;
export const moveMs = 1500;
export const restartMs = 120;
export const crashRestartMs = 3000;
export const visibleCrashRestartMs = 3200;
export const deadlyDelayMs = 10;
export const reportPeriodMs = 500;
/** How long after a change of the leader a host may need to be in touch with everything again. */
export const contactMs = 3000;
export const warmUpMs = 100;
export const checkpointPeriodMs = 200;
export const absenceNoticeMs = 4500;
export const delayedArrivalMs = 450;
export const leaderHandoverMs = 700;
export const quickFailureMs = 100;
export const waitingSampleMs = 50;
export const workSampleMs = 50;
/** A minion counts as having room once it has had the time to report and to list its runs. */
export const introductionMs = 1000;
export const wallClockStartMs = 1_700_000_000_000;
