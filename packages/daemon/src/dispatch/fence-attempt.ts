import {request} from 'undici';

/** A minion's answer about an attempt, requested on a new connection. */
export type FenceResult
	/** The minion has not received the attempt and will refuse it if it still arrives. */
	= | {readonly type: 'neverSeen'}
		| {readonly type: 'running'}
		| {readonly type: 'finished'}
		| {readonly type: 'stopped'}
	/** No usable answer, so the attempt's state is unknown. */
		| {readonly type: 'noAnswer'};

const states: ReadonlySet<string> = new Set(['neverSeen', 'running', 'finished', 'stopped']);

const parseState = (document: unknown): FenceResult => {
	const state = typeof document === 'object' && document !== null && 'state' in document ? document.state : undefined;
	return typeof state === 'string' && states.has(state)
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the set holds exactly the union's tags
		? {type: state as FenceResult['type']}
		: {type: 'noAnswer'};
};

/**
 * Asks a minion, on a new connection, to stop an attempt. In the mode `ifNeverSeen` only an attempt that
 * has not arrived is stopped: the minion refuses it if it arrives later, so that it certainly does not run.
 *
 * @returns The minion's answer. Never rejects.
 */
export async function fenceAttempt({origin, job, attempt, mode, timeoutMs}: {
	readonly origin: string;
	readonly job: string;
	readonly attempt: number;
	readonly mode: 'ifNeverSeen' | 'always';
	readonly timeoutMs: number;
}): Promise<FenceResult> {
	try {
		const {statusCode, body} = await request(`${origin}/jobs/${encodeURIComponent(job)}?attempt=${attempt}&stop=${mode}`, {
			method: 'DELETE',
			reset: true,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const document: unknown = await body.json();
		return statusCode === 200 ? parseState(document) : {type: 'noAnswer'};
	} catch {
		return {type: 'noAnswer'};
	}
}
