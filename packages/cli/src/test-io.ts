/** I/O for tests of the command line: entry hosts with scripted answers, files in memory, virtual time. */
import {runCli} from './program.js';
import type {CliIo, HttpCall, HttpOutcome} from './types.js';

/** One answer of a scripted entry host: a status with a document, or a connection failure. */
export type ScriptedAnswer
	= | {readonly status: number; readonly document: unknown; readonly isStale?: true}
		| {readonly failure: 'unsent' | 'sent'};

/** Input of one session: the command line, the files, and the successive answers to each request by `METHOD target`. */
export type Session = {
	readonly args: readonly string[];
	readonly answers?: Readonly<Record<string, readonly ScriptedAnswer[]>>;
	readonly files?: Readonly<Record<string, unknown>>;
	readonly env?: CliIo['env'];
};

/** Everything that a session sent, printed and returned. */
export type Transcript = {
	readonly requests: readonly string[];
	readonly output: string;
	readonly errors: string;
	readonly exitCode: number;
	readonly durationMs: number;
};

function toOutcome(answer: ScriptedAnswer | undefined): HttpOutcome {
	if (answer === undefined) {
		return {type: 'answered', status: 418, body: 'no answer is scripted for this request'};
	}

	return 'failure' in answer
		? {type: 'failed', isSent: answer.failure === 'sent', message: `connection failed (${answer.failure})`}
		: {
			type: 'answered', status: answer.status, body: JSON.stringify(answer.document), isStale: answer.isStale === true,
		};
}

function describeCall({
	endpoint, method, target, headers, body,
}: HttpCall): string {
	const {authorization, 'content-type': _, ...rest} = headers;
	return [endpoint, method, target, authorization, JSON.stringify(rest), body].filter(part => part !== undefined).join(' ');
}

/** Runs one command line against scripted entry hosts. The last answer to a request is repeated. */
export async function runSession({
	args, answers = {}, files = {}, env = Object.fromEntries([['SAMPHIREMILL_TOKEN', 'token']]),
}: Session): Promise<Transcript> {
	const requests: string[] = [];
	const requestCounts = new Map<string, number>();
	let [output, errors, nowMs, changeCount] = ['', '', 0, 0];
	const exitCode = await runCli(args, {
		write(text) {
			output += text;
		},
		writeError(text) {
			errors += text;
		},
		async readText(path) {
			const content = files[path];
			if (content === undefined) {
				throw new Error(`no such file: ${path}`);
			}

			return typeof content === 'string' ? content : JSON.stringify(content);
		},
		async request(call) {
			requests.push(describeCall(call));
			const name = `${call.method} ${call.target}`;
			const count = requestCounts.get(name) ?? 0;
			requestCounts.set(name, count + 1);
			const scripted = answers[name] ?? [];
			return toOutcome(scripted[Math.min(count, scripted.length - 1)]);
		},
		async sleep(durationMs) {
			nowMs += durationMs;
		},
		getNowMs: () => nowMs,
		createChangeId() {
			changeCount += 1;
			return `change-${changeCount}`;
		},
		env,
	});
	return {
		requests, output, errors, exitCode, durationMs: nowMs,
	};
}
