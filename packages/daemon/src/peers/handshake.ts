/**
 * Mutual authentication of a peer link by the cluster's secret, as challenge and response.
 *
 * The dialling end sends `hello` with a nonce, the accepting end answers `challenge` with its own
 * nonce and a proof over both, the dialling end closes with `proof`. Each proof covers both names,
 * incarnations and nonces and which end gives it, so neither can be replayed or reflected.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {NodeId} from '@samphiremill/common';

const nonceBytes = 16;
const protocolVersion = 1;

/** One end of a link as it names itself. */
export type LinkEnd = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly nonce: string;
};

/** A message of the handshake. */
export type HandshakeMessage
	= | {readonly type: 'hello'; readonly version: number; readonly from: LinkEnd; readonly to: NodeId}
		| {readonly type: 'challenge'; readonly from: LinkEnd; readonly proof: string}
		| {readonly type: 'proof'; readonly proof: string};

/** What a proof is computed over. */
export type ProofInput = {
	readonly secret: string;
	readonly prover: 'dialler' | 'acceptor';
	readonly dialler: LinkEnd;
	readonly acceptor: LinkEnd;
};

/** @returns A fresh nonce in hexadecimal. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

/**
 * @param options - The dialling end and the node that it means to reach.
 * @returns The first message of the handshake.
 */
export function createHello({from, to}: {readonly from: LinkEnd; readonly to: NodeId}): HandshakeMessage {
	return {
		type: 'hello', version: protocolVersion, from, to,
	};
}

/**
 * @param input - The secret, both ends, and which of them proves.
 * @returns The proof in hexadecimal.
 */
export function createProof({secret, prover, dialler, acceptor}: ProofInput): string {
	const getFields = ({node, incarnation, nonce}: LinkEnd) => [node, incarnation, nonce];
	return createHmac('sha256', secret)
		.update(JSON.stringify([protocolVersion, prover, getFields(dialler), getFields(acceptor)]))
		.digest('hex');
}

/**
 * Compares a proof in constant time.
 *
 * @param proof - The proof that was received.
 * @param input - What it has to be a proof of.
 * @returns Whether the other end knows the secret.
 */
export function isProofValid(proof: string, input: ProofInput): boolean {
	const expected = Buffer.from(createProof(input));
	const received = Buffer.from(proof);
	return received.length === expected.length && timingSafeEqual(received, expected);
}

function isLinkEnd(value: unknown): value is LinkEnd {
	return value instanceof Object
		&& 'node' in value && typeof value.node === 'string'
		&& 'incarnation' in value && Number.isSafeInteger(value.incarnation)
		&& 'nonce' in value && typeof value.nonce === 'string' && value.nonce.length === nonceBytes * 2;
}

/**
 * Checks a frame that arrived before its sender was authenticated.
 *
 * @param frame - Any JSON value.
 * @returns Whether it is a message of this version's handshake.
 */
export function isHandshakeMessage(frame: unknown): frame is HandshakeMessage {
	if (!(frame instanceof Object) || !('type' in frame)) {
		return false;
	}

	switch (frame.type) {
		case 'hello': {
			return 'version' in frame && frame.version === protocolVersion
				&& 'to' in frame && typeof frame.to === 'string' && 'from' in frame && isLinkEnd(frame.from);
		}

		case 'challenge': {
			return 'proof' in frame && typeof frame.proof === 'string' && 'from' in frame && isLinkEnd(frame.from);
		}

		case 'proof': {
			return 'proof' in frame && typeof frame.proof === 'string';
		}

		default: {
			return false;
		}
	}
}
