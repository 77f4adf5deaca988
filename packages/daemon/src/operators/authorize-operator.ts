import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {createFailure, createSuccess, type Result} from '@samphiremill/common';
import type {OperatorAccess, OperatorRole} from '../settings/types.js';
import {createProblemResponse} from './respond.js';
import type {ApiRequest, ApiResponse} from './types.js';

const bearerPattern = /^bearer (?<token>\S+)$/iv;

/**
 * Hashes a token or the secret of a key: SHA-256 in lower-case hexadecimal.
 */
export function hashSecret(secret: string): string {
	return createHash('sha256').update(secret).digest('hex');
}

function isSameHash(left: string, right: string): boolean {
	const [leftBytes, rightBytes] = [Buffer.from(left, 'hex'), Buffer.from(right, 'hex')];
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

function findOperator(operators: readonly OperatorAccess[], token: string): OperatorAccess | undefined {
	const hash = hashSecret(token);
	// Hashes are compared in constant time, so that the time taken reveals nothing about a stored hash.
	// The search ends at the first match.
	const match = operators.find(({tokenHash}) => isSameHash(tokenHash, hash));
	return match;
}

/**
 * Checks an operator's token and role.
 *
 * @param args.operators - The operators from the settings.
 * @param args.role - The role that the route requires; `write` includes `read`.
 * @returns The operator, or the 401 or 403 answer.
 */
export function authorizeOperator({req, operators, role}: {
	readonly req: ApiRequest;
	readonly operators: readonly OperatorAccess[];
	readonly role: OperatorRole;
}): Result<OperatorAccess, ApiResponse> {
	const token = bearerPattern.exec(req.headers.authorization ?? '')?.groups?.token;
	const operator = token === undefined ? undefined : findOperator(operators, token);
	if (operator === undefined) {
		const response = createProblemResponse({
			status: 401, title: 'An operator token is required', reason: 'unauthorized', ran: 'no',
		});
		return createFailure({...response, headers: {...response.headers, 'www-authenticate': 'Bearer'}});
	}

	if (role === 'write' && operator.role !== 'write') {
		return createFailure(createProblemResponse({
			status: 403, title: `Operator ${operator.name} may only read`, reason: 'forbidden', ran: 'no',
		}));
	}

	return createSuccess(operator);
}
