/**
 * What entry hosts tell each other about themselves when an operator asks one of them.
 */
import type {NodeId} from '@samphiremill/common';
import type {ShareReportLine} from '@samphiremill/core';
import * as z from 'zod/mini';
import type {HostStatus} from '../operators/index.js';
import type {PeerRequest, PeerTransport} from '../peers/index.js';

const reportTimeoutMs = 700;

/** What one entry host says of its part in the replicated log. */
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

/** The reports of this entry host. */
export type ReportSource = {
	readonly getNodeReport: () => NodeReport;
	readonly getShareReport: (windowMs: number) => readonly ShareReportLine[];
};

/**
 * Answers the requests of other entry hosts for reports.
 *
 * @param source - The reports of this host.
 * @param req - The request.
 * @returns The report.
 * @throws TypeError on a method that is not known.
 */
export async function answerReportRequest(source: ReportSource, req: PeerRequest): Promise<unknown> {
	if (req.method === 'node/status') {
		return source.getNodeReport();
	}

	if (req.method === 'node/shares') {
		return source.getShareReport(shareQuerySchema.parse(req.params).windowMs);
	}

	throw new TypeError(`no method ${req.method}`);
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

/**
 * @param options - The links, and whom to ask.
 * @returns The part in the replicated log of each host that answers in time.
 */
export async function requestNodeReports(options: ReportRequestOptions): Promise<ReadonlyMap<NodeId, NodeReport>> {
	return requestReports<NodeReport>({
		...options, method: 'node/status', params: {}, schema: nodeReportSchema,
	});
}

/**
 * @param options - The links, whom to ask, and the window in milliseconds.
 * @returns The share reports of the hosts that answer in time.
 */
export async function requestShareReports({windowMs, ...options}: ReportRequestOptions & {readonly windowMs: number}): Promise<ReadonlyArray<readonly ShareReportLine[]>> {
	const reports = await requestReports({
		...options, method: 'node/shares', params: {windowMs}, schema: shareReportSchema,
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the schema has checked all but the brands
	return [...reports.values()] as unknown as ReadonlyArray<readonly ShareReportLine[]>;
}
