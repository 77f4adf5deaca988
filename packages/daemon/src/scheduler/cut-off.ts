/**
 * Decides whether a control host that does not lead is cut off from all others, so that it refuses calls at once: their senders
 * then try another host, instead of waiting here.
 */
import type {NodeId} from '@samphiremill/common';

/** A host without any link for this long is cut off; links that are reset, or are new, come up sooner. */
export const cutOffAfterMs = 500;

/** What a control host knows of its links with the others. */
export type LinkView = {
	readonly nowMs: number;
	/** When this process started. */
	readonly startedAtMs: number;
	/** The other control hosts, as far as this one knows them. */
	readonly hosts: readonly NodeId[];
	readonly isLinked: (host: NodeId) => boolean;
	readonly getLastLinkedAtMs: (host: NodeId) => number | undefined;
};

/** Returns whether no other control host has been linked for `cutOffAfterMs`. All times are monotonic, in milliseconds. */
export function isCutOff({nowMs, startedAtMs, hosts, isLinked, getLastLinkedAtMs}: LinkView): boolean {
	const lastLinkedAtMs = Math.max(startedAtMs, ...hosts.map(host => isLinked(host) ? nowMs : getLastLinkedAtMs(host) ?? startedAtMs));
	return nowMs - lastLinkedAtMs > cutOffAfterMs;
}
