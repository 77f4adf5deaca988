import {assertNever, hashText} from '@samphiremill/common';
import {OrderedMap} from 'immutable';
import {toCanonicalJson} from './canonical-json.js';
import {maximumAppliedChanges, appliedChangeSlack} from './constants.js';
import {controlParts, type PartCommand} from './parts.js';
import {rejectUnknownCommand} from './parts/reject-unknown-command.js';
import {planV1Delete, planV1Put, toV1Finding} from './schema/documents.js';
import {getVersionedRecord, type RecordOf} from './selectors.js';
import type {
	ControlCommand, ControlRecord, ControlState, ControlStep, OperatorCommand, RecordWrite, SetViewCommand,
} from './types.js';
import {writeRecords} from './write-records.js';

function toWrites(state: ControlState, command: OperatorCommand): readonly RecordWrite[] {
	switch (command.type) {
		case 'control/putRecord': {
			const {record, expectedRevision} = command;
			return [{type: 'put', record, ...(expectedRevision !== undefined && {expectedRevision})}];
		}

		case 'control/deleteRecord': {
			const {kind, id, expectedRevision} = command;
			return [{
				type: 'delete', kind, id, ...(expectedRevision !== undefined && {expectedRevision}),
			}];
		}

		case 'control/writeRecords': {
			return command.writes;
		}

		case 'control/putV1Document': {
			return planV1Put({state, ...command});
		}

		case 'control/deleteV1Document': {
			return planV1Delete({state, ...command});
		}

		case 'control/setWaveDesired': {
			const {wave: id, desired} = command;
			return planEdit({
				state, kind: 'wave', id, edit: record => ({...record, desired}),
			});
		}

		case 'control/setHomePool': {
			const {worker: id, pool: homePool} = command;
			return planEdit({
				state, kind: 'worker', id, edit: record => ({...record, homePool}),
			});
		}

		default: {
			return assertNever(command);
		}
	}
}

/** A write of a record that is to differ from the present one in some fields only. */
function planEdit<Kind extends 'wave' | 'worker'>({state, kind, id, edit}: {
	readonly state: ControlState;
	readonly kind: Kind;
	readonly id: string;
	readonly edit: (record: RecordOf<Kind>) => ControlRecord;
}): readonly RecordWrite[] {
	const current = getVersionedRecord(state, {kind, id});
	return current === undefined
		? [{
			type: 'expect', kind, id, isRequired: true,
		}]
		: [{type: 'put', record: edit(current.record), isRenewal: true}];
}

function getFingerprint(command: OperatorCommand): string {
	const {acceptedAtMs, ...content} = command;
	const text = toCanonicalJson(content);
	return `${text.length}-${hashText(text)}`;
}

function storeAnswer({step, command, fingerprint}: {
	readonly step: ControlStep;
	readonly command: OperatorCommand;
	readonly fingerprint: string;
}): ControlStep {
	const {state, answer} = step;
	const changes = state.changes.set(command.changeId, {fingerprint, answer});
	const isFull = changes.size >= maximumAppliedChanges + appliedChangeSlack;
	return {answer, state: {...state, changes: isFull ? OrderedMap(changes.takeLast(maximumAppliedChanges)) : changes}};
}

const operatorCommandTypes: ReadonlySet<string> = new Set<OperatorCommand['type']>([
	'control/putRecord',
	'control/deleteRecord',
	'control/writeRecords',
	'control/putV1Document',
	'control/deleteV1Document',
	'control/setWaveDesired',
	'control/setHomePool',
]);

/** Whether this version knows the command. A newer leader's log may hold others. */
function isKnownOperatorCommand({type}: {readonly type: string}): boolean {
	return operatorCommandTypes.has(type);
}

function toV1Step({state, answer}: ControlStep): ControlStep {
	return answer.type === 'invalid'
		? {state, answer: {...answer, findings: answer.findings.map(finding => toV1Finding(finding))}}
		: {state, answer};
}

function applyOperatorCommand(state: ControlState, command: OperatorCommand): ControlStep {
	const fingerprint = getFingerprint(command);
	const earlier = state.changes.get(command.changeId);
	if (earlier !== undefined) {
		return {state, answer: earlier.fingerprint === fingerprint ? earlier.answer : {type: 'changeIdReused'}};
	}

	const step = writeRecords({state, writes: toWrites(state, command), origin: command});
	const isV1 = command.type === 'control/putV1Document';
	return storeAnswer({step: isV1 ? toV1Step(step) : step, command, fingerprint});
}

function setView(state: ControlState, command: SetViewCommand): ControlStep {
	const {dataCentre, expectedEpoch, members} = command;
	const epoch = state.views.get(dataCentre)?.epoch ?? 0;
	if (epoch !== expectedEpoch) {
		const message = `the view of ${dataCentre} is at epoch ${epoch}, not ${expectedEpoch}`;
		return {state, answer: {type: 'rejected', reason: 'staleEpoch', message}};
	}

	const view = {dataCentre, epoch: epoch + 1, members};
	return {state: {...state, views: state.views.set(dataCentre, view)}, answer: {type: 'applied'}};
}

function applyPartCommand(state: ControlState, command: PartCommand): ControlStep {
	const {type} = command;
	const part = controlParts.find(({name}) => type.startsWith(`${name}/`));
	return part === undefined ? rejectUnknownCommand(state, command) : part.applyCommand({state, command});
}

/**
 * Applies one committed command. The outcome depends on the arguments alone, so that every replica
 * that applies the same commands in the same order comes to the same state.
 *
 * @param state - The state before.
 * @param command - The committed command.
 * @returns The state after, and the answer for whoever proposed the command. A change id that was
 *   seen before gets its first answer.
 */
export function applyControlCommand(state: ControlState, command: ControlCommand): ControlStep {
	if ('changeId' in command) {
		return isKnownOperatorCommand(command) ? applyOperatorCommand(state, command) : rejectUnknownCommand(state, command);
	}

	return command.type === 'control/setView' ? setView(state, command) : applyPartCommand(state, command);
}
