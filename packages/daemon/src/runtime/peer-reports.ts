/**
 * Reports that an entry host requests from the others to answer an operator.
 */
import type {NodeId} from '@samphiremill/common';
import type {ShareReportLine} from '@samphiremill/core';
import * as z from 'zod/mini';
import type {HostStatus} from '../operators/index.js';
import type {PeerRequest, PeerTransport} from '../peers/index.js';

const reportTimeoutMs = 700;

/** The state of one entry host in the replicated log. */
export type NodeReport = {
	readonly role: HostStatus['role'];
	readonly appliedIndex: number;
};

const nodeReportSchema = z.object({
	role: z.enum(['leader', 'follower', 'candidate', 'learner', 'observer', 'unknown']),
	appliedIndex: z.int(),
});
const shareReportSchema = z.array(z.object({
	pool: z.string(), team: z.string(), dueSlots: z.number(), grantedSlots: z.number(), usedSlots: z.number(), refused: z.number(),
}));
const shareQuerySchema = z.object({windowMs: z.number()});

/** Creates the reports on this entry host. */
export type ReportSource = {
	readonly getNodeReport: () => NodeReport;
	readonly getShareReport: (windowMs: number) => readonly ShareReportLine[];
};

/**
 * Answers a report request of another entry host.
 *
 * @throws TypeError if the method is unknown.
 */
export async function answerReportRequest(source: ReportSource, req: PeerRequest): Promise<unknown> {
	if (req.method === 'node/status') {
		return source.getNodeReport();
	}

	if (req.method === 'node/shares') {
		return source.getShareReport(shareQuerySchema.parse(req.params).windowMs);
	}

	throw new TypeError(`unknown method ${req.method}`);
}

const requestReports = async <Report>({transport, nodes, method, params, schema}: {
	readonly transport: PeerTransport;
	readonly nodes: readonly NodeId[];
	readonly method: string;
	readonly params: unknown;
	readonly schema: z.ZodMiniType<Report>;
}): Promise<ReadonlyMap<NodeId, Report>> => {
	const answers = await Promise.all(nodes.map(async to => {
		const result = await transport.request({
			to, method, params, timeoutMs: reportTimeoutMs,
		});
		const parsed = schema.safeParse(result.ok ? result.value : undefined);
		return {to, report: parsed.success ? parsed.data : undefined};
	}));
	return new Map(answers.flatMap(({to, report}) => report === undefined ? [] : [[to, report] as const]));
};

type ReportRequestOptions = {
	readonly transport: PeerTransport;
	readonly nodes: readonly NodeId[];
};

/** Requests the replicated-log state of each host; hosts that do not answer in time are missing from the result. */
export async function requestNodeReports(options: ReportRequestOptions): Promise<ReadonlyMap<NodeId, NodeReport>> {
	return requestReports<NodeReport>({
		...options, method: 'node/status', params: {}, schema: nodeReportSchema,
	});
}

/** Requests the share reports of the last `windowMs` milliseconds; hosts that do not answer in time are missing from the result. */
export async function requestShareReports({windowMs, ...options}: ReportRequestOptions & {readonly windowMs: number}): Promise<ReadonlyArray<readonly ShareReportLine[]>> {
	const reports = await requestReports({
		...options, method: 'node/shares', params: {windowMs}, schema: shareReportSchema,
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema checks everything except the brands
	return [...reports.values()] as unknown as ReadonlyArray<readonly ShareReportLine[]>;
}
