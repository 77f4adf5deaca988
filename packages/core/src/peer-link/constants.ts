import type {PeerLinkConfig} from './types.js';

/** Timings of a link, for a latency of a few milliseconds between data centres. */
export const defaultPeerLinkConfig: PeerLinkConfig = {
	dialTimeoutMs: 1000,
	heartbeatPeriodMs: 300,
	muteTimeoutMs: 1000,
	idleCloseMs: 30_000,
	simultaneousDialMs: 250,
	firstBackoffMs: 100,
	maximumBackoffMs: 3000,
};
