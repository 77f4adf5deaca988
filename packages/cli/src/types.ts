/** Types that the commands share. */
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

/** Outcome of one HTTP request. */
export type HttpOutcome
	/** `isStale` is true if the host reported that its configuration is not fresh. */
	= | {readonly type: 'answered'; readonly status: number; readonly body: string; readonly isStale?: boolean}
	/** `isSent` is false only if the endpoint cannot have received the request. */
		| {readonly type: 'failed'; readonly isSent: boolean; readonly message: string};

/** All I/O that the program uses; tests replace it. */
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

/** Options that are common to all commands. */
export type GlobalOptions = {
	readonly endpoint?: readonly string[];
	readonly tokenFile?: string;
	readonly output: 'table' | 'json';
	/** Seconds. */
	readonly timeout: number;
	readonly apiVersion: 'v1' | 'v2';
};

/** The error document with which an entry host refuses a request. */
export type ProblemDocument = {
	readonly title: string;
	readonly reason: string;
	readonly detail?: string;
	readonly findings?: ReadonlyArray<{readonly path: string; readonly message: string}>;
	readonly conflicts?: readonly unknown[];
};

/** Result of a request after all endpoints and retries. */
export type ApiResult
	= | {readonly type: 'done'; readonly document: unknown}
		| {readonly type: 'refused'; readonly status: number; readonly problem: ProblemDocument}
	/** `ran` is `maybe` if the change may have been accepted. */
		| {readonly type: 'unreachable'; readonly ran: 'no' | 'maybe'; readonly message: string};

/** One request, sent to the endpoints in order until one answers. */
export type ApiCall = {
	readonly method: HttpCall['method'];
	readonly target: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly document?: unknown;
};

/** Context that is passed to each command. */
export type CommandContext = {
	readonly io: CliIo;
	readonly options: GlobalOptions;
	readonly call: (call: ApiCall) => Promise<ApiResult>;
};

/** The action of a command; resolves to the exit status. */
export type CommandAction = (context: CommandContext) => Promise<ExitCode>;

/** Runs a command's action with the global options from the command line. */
export type RunAction = (action: CommandAction) => Promise<void>;
