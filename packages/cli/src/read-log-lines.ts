/**
 * The lines of several processes' logs that tell of one job or task, and what happened to the system
 * meanwhile.
 */

/** One line of a structured log. */
export type LogLine = {
	/** Unix time in milliseconds, of the host that wrote it. */
	readonly atMs: number;
	readonly node: string;
	readonly message: string;
	/** What decided, as it was written. */
	readonly inputs: Readonly<Record<string, unknown>>;
};

// Lines are looked at from this long before the first line with the id to this long after the last.
const contextMs = 2000;

// What stops or slows every job: who leads, restarts, and lines that are missing.
const systemMessages = [/^leads in term/v, /^started$/v, /^stops/v, /^the voters change/v, /^the data folder failed/v, /log lines were left out/v];

const isFields = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

const parseFields = (text: string): Readonly<Record<string, unknown>> | undefined => {
	try {
		const value: unknown = JSON.parse(text);
		return isFields(value) ? value : undefined;
	} catch {
		return undefined;
	}
};

// A collector may have put a time or a host before the line.
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

/** What the logs tell of an id. */
export type LogTrace = {
	/** In order of time; lines about the whole system among them. */
	readonly lines: readonly LogLine[];
	/** Lines that are no log lines. */
	readonly unreadableCount: number;
};

/**
 * @param texts - The logs, one of each process.
 * @param id - A job's, task's, minion's or worker's id.
 * @returns The lines that name the id, and those near them that tell of the whole system.
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
