/** What the commands share. */
import type {ExitCode} from './exit-codes.js';

/** One HTTP request to one endpoint. */
export type HttpCall = {
	readonly endpoint: string;
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	/** Path and query. */
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs: number;
};

/** What came of one HTTP request. */
export type HttpOutcome
	/** `isStale` where the host said that its configuration is not fresh. */
	= | {readonly type: 'answered'; readonly status: number; readonly body: string; readonly isStale?: boolean}
	/** `isSent` is false only if the endpoint cannot have received the request. */
		| {readonly type: 'failed'; readonly isSent: boolean; readonly message: string};

/** Everything of the outside world that the program touches. */
export type CliIo = {
	readonly write: (text: string) => void;
	readonly writeError: (text: string) => void;
	/** Reads a file, or standard input for `-`. */
	readonly readText: (path: string) => Promise<string>;
	readonly request: (call: HttpCall) => Promise<HttpOutcome>;
	readonly sleep: (durationMs: number) => Promise<void>;
	readonly getNowMs: () => number;
	readonly createChangeId: () => string;
	readonly env: Readonly<Record<string, string | undefined>>;
};

/** Options that every command takes. */
export type GlobalOptions = {
	readonly endpoint?: readonly string[];
	readonly tokenFile?: string;
	readonly output: 'table' | 'json';
	/** Seconds. */
	readonly timeout: number;
	readonly apiVersion: 'v1' | 'v2';
};

/** A refusal as the entry hosts tell it. */
export type ProblemDocument = {
	readonly title: string;
	readonly reason: string;
	readonly detail?: string;
	readonly findings?: ReadonlyArray<{readonly path: string; readonly message: string}>;
	readonly conflicts?: readonly unknown[];
};

/** What came of a request after all endpoints and resends. */
export type ApiResult
	= | {readonly type: 'done'; readonly document: unknown}
		| {readonly type: 'refused'; readonly status: number; readonly problem: ProblemDocument}
	/** `ran` tells whether the change may have been accepted. */
		| {readonly type: 'unreachable'; readonly ran: 'no' | 'maybe'; readonly message: string};

/** One request to whichever endpoint answers. */
export type ApiCall = {
	readonly method: HttpCall['method'];
	readonly target: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly document?: unknown;
};

/** What a command gets to do its work. */
export type CommandContext = {
	readonly io: CliIo;
	readonly options: GlobalOptions;
	readonly call: (call: ApiCall) => Promise<ApiResult>;
};

/** What a command does; the result is the exit status. */
export type CommandAction = (context: CommandContext) => Promise<ExitCode>;

/** Runs a command's action with the global options as they were given. */
export type RunAction = (action: CommandAction) => Promise<void>;
