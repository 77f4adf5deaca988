/**
 * Mutual authentication of a peer link by challenge and response with the cluster secret.
 *
 * 1. The dialling end sends `hello` with a nonce.
 * 2. The accepting end answers with `challenge`: its own nonce and a proof over both nonces.
 * 3. The dialling end sends `proof`, its own proof.
 *
 * Each proof covers the names, incarnations and nonces of both ends and the role of the end that
 * computes it. So a proof can be neither replayed nor reflected.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {NodeId} from '@samphiremill/common';

const nonceBytes = 16;
const protocolVersion = 1;

/** The identity that one end of a link claims in the handshake. */
export type LinkEnd = {
	readonly node: NodeId;
	readonly incarnation: number;
	readonly nonce: string;
};

/** The messages of the handshake. */
export type HandshakeMessage
	= | {readonly type: 'hello'; readonly version: number; readonly from: LinkEnd; readonly to: NodeId}
		| {readonly type: 'challenge'; readonly from: LinkEnd; readonly proof: string}
		| {readonly type: 'proof'; readonly proof: string};

/** The secret, the data that a proof covers, and the role of the end that computes it. */
export type ProofInput = {
	readonly secret: string;
	readonly prover: 'dialler' | 'acceptor';
	readonly dialler: LinkEnd;
	readonly acceptor: LinkEnd;
};

/** Creates a random nonce, in hexadecimal. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

/**
 * Creates the first message of the handshake, from the dialling end to the node that it dials.
 */
export function createHello({from, to}: {readonly from: LinkEnd; readonly to: NodeId}): HandshakeMessage {
	return {
		type: 'hello', version: protocolVersion, from, to,
	};
}

/**
 * Computes a proof, in hexadecimal.
 */
export function createProof({secret, prover, dialler, acceptor}: ProofInput): string {
	const getFields = ({node, incarnation, nonce}: LinkEnd) => [node, incarnation, nonce];
	return createHmac('sha256', secret)
		.update(JSON.stringify([protocolVersion, prover, getFields(dialler), getFields(acceptor)]))
		.digest('hex');
}

/**
 * Checks a received proof in constant time. A valid proof shows that the other end knows the secret.
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
 * Checks whether a frame from an unauthenticated sender is a handshake message of this protocol version.
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
