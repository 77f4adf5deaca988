import process from 'node:process';
import {Logger} from 'tslog';
import type {LogSettings} from '../settings/index.js';
import type {StructuredLogger, LogFields} from './types.js';

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
 * Creates the log. Each line has a message that names the thing and the bound, and its fields.
 *
 * @param options - The level and format, and the node that every line names, and where lines of JSON go;
 * by default to standard output, which waits for its reader.
 * @returns The log.
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
