import process from 'node:process';
import {Logger} from 'tslog';
import type {LogSettings} from '../settings/index.js';
import type {LogFields, StructuredLogger} from './types.js';

const levelIds: Readonly<Record<LogSettings['level'], number>> = {
	trace: 1, debug: 2, info: 3, warn: 4, error: 5,
};

type LevelName = keyof StructuredLogger;

const createJsonLine = (level: LevelName, node: string, fields: LogFields) => JSON.stringify({
	time: new Date().toISOString(), level, ...fields, node,
});

const writeBlocking = (line: string) => {
	process.stdout.write(`${line}\n`);
};

/**
 * Creates a logger. Each line has a message, which names the subject and the limit concerned, and fields.
 *
 * @param options - `node` is written in every line. `writeLine` receives the lines in JSON format; by
 * default they are written to standard output, which blocks while its reader does not read.
 */
export function createLog({settings, node, writeLine = writeBlocking}: {
	readonly settings: LogSettings;
	readonly node: string;
	readonly writeLine?: (line: string) => void;
}): StructuredLogger {
	const logger = new Logger<LogFields>({
		name: node,
		type: settings.format === 'json' ? 'hidden' : 'pretty',
		minLevel: levelIds[settings.level],
		hideLogPositionForProduction: true,
		maskValuesOfKeys: ['authorization', 'secret', 'token'],
	});

	const createWriter = (level: LevelName) => (message: string, fields: LogFields) => {
		if (levelIds[level] < levelIds[settings.level]) {
			return;
		}

		const line = logger[level]({message, ...fields});
		if (settings.format === 'json' && line !== undefined) {
			const {_meta, ...masked} = line;
			writeLine(createJsonLine(level, node, masked));
		}
	};

	return {
		debug: createWriter('debug'),
		info: createWriter('info'),
		warn: createWriter('warn'),
		error: createWriter('error'),
	};
}
