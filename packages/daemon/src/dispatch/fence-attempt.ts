import {request} from 'undici';

/** What a minion says when it is asked on a new connection about an attempt. */
export type FenceResult
	/** The minion had not seen the attempt and will refuse it if it still comes. */
	= | {readonly type: 'neverSeen'}
		| {readonly type: 'running'}
		| {readonly type: 'finished'}
		| {readonly type: 'stopped'}
	/** No usable answer; nothing is known. */
		| {readonly type: 'noAnswer'};

const states: ReadonlySet<string> = new Set(['neverSeen', 'running', 'finished', 'stopped']);

const parseState = (document: unknown): FenceResult => {
	const state = typeof document === 'object' && document !== null && 'state' in document ? document.state : undefined;
	return typeof state === 'string' && states.has(state)
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the set holds just the union's tags
		? {type: state as FenceResult['type']}
		: {type: 'noAnswer'};
};

/**
 * Asks a minion, on a new connection, to stop an attempt. In the mode `ifNeverSeen` only an attempt
 * that has not arrived is stopped: the minion then refuses it, should it still come, so that "not run"
 * becomes true.
 *
 * @param options - The minion's origin, the job, the attempt, the mode and the time limit in milliseconds.
 * @returns What the minion says. Never rejects.
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
