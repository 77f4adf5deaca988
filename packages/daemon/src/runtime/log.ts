import {Logger} from 'tslog';
import type {LogSettings} from '../settings/index.js';
import type {DecisionLog, LogFields} from './types.js';

const levelIds: Readonly<Record<LogSettings['level'], number>> = {
	trace: 1, debug: 2, info: 3, warn: 4, error: 5,
};

/**
 * Creates the log. Each line has a message that names the thing and the bound, and its fields.
 *
 * @param options - The level and format, and the node that every line names.
 * @returns The log.
 */
export function createLog({settings, node}: {readonly settings: LogSettings; readonly node: string}): DecisionLog {
	const logger = new Logger<LogFields>({
		name: node,
		type: settings.format,
		minLevel: levelIds[settings.level],
		hideLogPositionForProduction: true,
		maskValuesOfKeys: ['authorization', 'secret', 'token'],
	});
	return {
		debug(message, fields) {
			logger.debug({message, ...fields});
		},
		info(message, fields) {
			logger.info({message, ...fields});
		},
		warn(message, fields) {
			logger.warn({message, ...fields});
		},
		error(message, fields) {
			logger.error({message, ...fields});
		},
	};
}
