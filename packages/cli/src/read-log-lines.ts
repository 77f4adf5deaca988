/**
 * Collects the log lines of several processes that contain one id, together with nearby lines about
 * events that affect the whole system.
 */

/** One line of a structured log. */
export type LogLine = {
	/** Unix time in milliseconds, by the clock of the host that wrote the line. */
	readonly atMs: number;
	readonly node: string;
	readonly message: string;
	/** The remaining fields of the line, unchanged: the inputs of the logged decision. */
	readonly inputs: Readonly<Record<string, unknown>>;
};

// Lines about the whole system are included from this long before the first line with the id until
// this long after the last one.
const contextMs = 2000;

// Messages about events that can stop or slow down every job (elections, restarts, changes of the voters,
// disk failures), and about log lines that were dropped.
const systemMessages = [/^leads in term/v, /^started$/v, /^stops/v, /^the voters change/v, /^writes to the data folder/v, /log lines were left out/v];

const isFields = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

const parseFields = (text: string): Readonly<Record<string, unknown>> | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isFields(value) ? value : undefined;
	} catch {
		return undefined;
	}
};

// A log collector may have prefixed the line with a time or a host.
const parseLine = (text: string): LogLine | undefined => {
	const fields = parseFields(text.slice(Math.max(0, text.indexOf('{'))));
	if (fields === undefined) {
		return undefined;
	}

	const {time, level: _, message, node, ...inputs} = fields;
	const atMs = typeof time === 'string' ? Date.parse(time) : Number.NaN;
	return typeof message !== 'string' || Number.isNaN(atMs)
		? undefined
		: {
			atMs, message, node: typeof node === 'string' ? node : '-', inputs,
		};
};

const isAboutId = ({message, inputs}: LogLine, id: string) => message.includes(id) || Object.values(inputs).some(value => JSON.stringify(value)?.includes(id));

const isSystemEvent = ({message}: LogLine) => systemMessages.some(pattern => pattern.test(message));

/** The log lines that concern one id. */
export type LogTrace = {
	/** In order of time, including lines about the whole system. */
	readonly lines: readonly LogLine[];
	/** Number of lines that could not be parsed as log lines. */
	readonly unreadableCount: number;
};

/**
 * Returns the log lines that contain the id, and nearby lines about the whole system.
 *
 * @param texts - The logs, one for each process.
 * @param id - The id of a job, task, minion or worker.
 */
export function traceLogs(texts: readonly string[], id: string): LogTrace {
	const nonEmptyTexts = texts.flatMap(text => text.split('\n')).filter(text => text.trim() !== '');
	const lines = nonEmptyTexts.map(text => parseLine(text)).filter(line => line !== undefined).toSorted((left, right) => left.atMs - right.atMs);
	const matchingLines = lines.filter(line => isAboutId(line, id));
	const [first] = matchingLines;
	const last = matchingLines.at(-1);
	const isNear = ({atMs}: LogLine) => first !== undefined && last !== undefined && atMs >= first.atMs - contextMs && atMs <= last.atMs + contextMs;
	return {
		lines: lines.filter(line => isAboutId(line, id) || (isSystemEvent(line) && isNear(line))),
		unreadableCount: nonEmptyTexts.length - lines.length,
	};
}
