/**
 * Checks the form of a command before it is applied, so that a malformed one changes nothing.
 */

type Fields = Readonly<Record<string, unknown>>;

const isRecord = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value);
const isText = (value: unknown): value is string => typeof value === 'string';
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0;
const hasTexts = (fields: Fields, names: readonly string[]) => names.every(name => isText(fields[name]));
const hasNumbers = (fields: Fields, names: readonly string[]) => names.every(name => Number.isFinite(fields[name]));
const isListOf = (value: unknown, isItem: (item: unknown) => boolean): value is readonly unknown[] => Array.isArray(value) && value.every(item => isItem(item));
const isTextOrAbsent = (value: unknown) => value === undefined || isText(value);

const isResources = (value: unknown) => isRecord(value) && hasNumbers(value, ['cpuMillicores', 'memoryMb', 'gpus']);

const isStep = (value: unknown) => isRecord(value)
	&& isCount(value.count)
	&& hasNumbers(value, ['estimateMs'])
	&& isResources(value.request)
	&& isListOf(value.dependsOn, isCount);

const isSchedule = (value: unknown) => value === undefined
	|| (isRecord(value) && hasNumbers(value, ['count', 'firstDueAtMs', 'intervalMs']));

const isJob = (value: unknown) => isRecord(value)
	&& hasTexts(value, ['id', 'queue', 'pool'])
	&& isTextOrAbsent(value.team)
	&& isTextOrAbsent(value.place)
	&& isRecord(value.specification)
	&& isListOf(value.specification.steps, isStep)
	&& isSchedule(value.specification.schedule);

const isRun = (value: unknown) => isRecord(value) && hasTexts(value, ['task']) && isCount(value.run);
const isAssignment = (value: unknown) => isRun(value) && isRecord(value) && hasTexts(value, ['life']);
const isStartUnderWay = (value: unknown) => isAssignment(value) && isRecord(value) && hasTexts(value, ['minion']) && (value.isOvertaken === undefined || typeof value.isOvertaken === 'boolean');
const isRunEnd = (value: unknown) => isAssignment(value) && isRecord(value) && hasTexts(value, ['ending', 'checkpoint']);

const isMinion = (value: unknown) => isRecord(value)
	&& hasTexts(value, ['life', 'minion', 'address', 'worker', 'pool', 'dataCentre'])
	&& hasNumbers(value, ['bornAtMs'])
	&& isListOf(value.labels, isText)
	&& isResources(value.capacity);

const isLostRun = (value: unknown) => isRecord(value) && hasTexts(value, ['task']) && isCount(value.run) && (value.ranMs === undefined || Number.isFinite(value.ranMs));
const isLoss = (value: unknown) => isRecord(value) && hasNumbers(value, ['atMs']) && isListOf(value.runs, isLostRun);
const areTextsOrAbsent = (value: unknown) => value === undefined || isListOf(value, isText);
const isLossOrAbsent = (value: unknown) => value === undefined || isLoss(value);
const areLossesOrAbsent = (value: unknown) => value === undefined || isListOf(value, loss => isLoss(loss) && isRecord(loss) && isText(loss.life));

const isStartReportOrAbsent = (value: unknown) => value === undefined || (isRecord(value) && isCount(value.upTo) && isListOf(value.uncertain, isText));
const isCallerOrAbsent = (value: unknown) => value === undefined || (isRecord(value) && isTextOrAbsent(value.team) && isTextOrAbsent(value.openPlace));

const isWave = (value: unknown) => isRecord(value)
	&& hasTexts(value, ['wave'])
	&& isListOf(value.workers, isText)
	&& hasNumbers(value, ['maximumAtOnce', 'startedAtMs', 'dueAtMs']);

// Returns `undefined` for an unknown type.
// eslint-disable-next-line complexity -- one case for each type of command
const isWellFormed = (command: Fields): boolean | undefined => {
	const {type} = command;
	switch (type) {
		case 'term/begun': {
			return isCount(command.term);
		}

		case 'configuration/replaced': {
			return isText(command.document);
		}

		case 'job/accepted': {
			return isJob(command.job) && (command.keepsBounds === undefined || command.keepsBounds === true);
		}

		case 'job/cancelled': {
			return hasTexts(command, ['id']) && hasNumbers(command, ['atMs']) && isCallerOrAbsent(command.caller);
		}

		case 'runs/assigned': {
			return isListOf(command.runs, isAssignment) && (command.keepsLimits === undefined || command.keepsLimits === true) && isStartReportOrAbsent(command.startReport);
		}

		case 'runs/ended': {
			return isListOf(command.ends, isRunEnd) && Number.isFinite(command.atMs) && isLossOrAbsent(command.loss) && areTextsOrAbsent(command.startedJobs) && isStartReportOrAbsent(command.startReport);
		}

		case 'minion/joined': {
			return isMinion(command.record) && areLossesOrAbsent(command.losses) && areTextsOrAbsent(command.startedJobs);
		}

		case 'minion/left': {
			return isText(command.life) && isLossOrAbsent(command.loss) && areTextsOrAbsent(command.startedJobs);
		}

		case 'minion/resized': {
			return isText(command.life) && isResources(command.capacity) && (command.sequence === undefined || Number.isFinite(command.sequence));
		}

		case 'minion/settled':
		case 'minion/draining': {
			return isText(command.life);
		}

		case 'starts/underWay': {
			return isListOf(command.starts, isStartUnderWay) && isListOf(command.arrived, isRun);
		}

		case 'wave/started': {
			return isWave(command.wave);
		}

		case 'wave/workerOrdered': {
			return hasTexts(command, ['wave', 'worker']) && isTextOrAbsent(command.life) && (command.orderedBefore === undefined || isCount(command.orderedBefore));
		}

		case 'wave/workerBegun': {
			return hasTexts(command, ['wave', 'worker']) && hasNumbers(command, ['atMs']);
		}

		case 'worker/ordered': {
			return hasTexts(command, ['worker']) && isCount(command.term);
		}

		case 'worker/orderEnded': {
			return hasTexts(command, ['worker']) && isCount(command.term);
		}

		case 'controlHost/joined': {
			return isRecord(command.record) && hasTexts(command.record, ['node', 'storeId']);
		}

		case 'jobs/forgotten': {
			return isListOf(command.ids, isText);
		}

		case 'batch': {
			return Array.isArray(command.commands);
		}

		default: {
			return undefined;
		}
	}
};

/**
 * Finds out why a command from the log cannot be applied. The parts of a batch are checked one by one when they
 * are applied.
 *
 * @returns The reason, or `undefined` if the command is well formed.
 */
export function findCommandFault(command: unknown): string | undefined {
	const isValid = isRecord(command) ? isWellFormed(command) : undefined;
	if (isValid === undefined) {
		return 'the type of the command is unknown';
	}

	return isValid ? undefined : 'the command is malformed';
}
