import {isIP} from 'node:net';
import * as z from 'zod/mini';
import {
	allowedVoterCounts,
	defaultLimits,
	highestPort,
	minimumClusterSecretLength,
	settingsApiVersion,
} from './constants.js';

const id = z.string().check(z.regex(
	/^[a-z\d][a-z\d._\-]{0,62}$/v,
	'must be 1 to 63 lower-case letters, digits, dots, hyphens or underscores',
));
const ipNumber = z.string().check(z.refine(text => isIP(text) !== 0, 'must be an IP number'));
const listenPort = z.int().check(z.minimum(0), z.maximum(highestPort));
const port = z.int().check(z.minimum(1), z.maximum(highestPort));
const positive = z.int().check(z.minimum(1));
const text = z.string().check(z.minLength(1));

const httpUrl = z.string().check(z.refine(
	value => URL.canParse(value) && ['http:', 'https:'].includes(new URL(value).protocol),
	'must be an http or https address',
));

const listenAddress = z.strictObject({host: ipNumber, port: listenPort});

const peer = z.strictObject({
	node: id, dataCentre: id, region: id, host: ipNumber, peerPort: port,
});

const log = z.strictObject({
	level: z._default(z.enum(['trace', 'debug', 'info', 'warn', 'error']), 'info'),
	format: z._default(z.enum(['json', 'pretty']), 'json'),
});

const limits = z.strictObject({
	maximumBodyBytes: z._default(positive, defaultLimits.maximumBodyBytes),
	bodyBudgetBytes: z._default(positive, defaultLimits.bodyBudgetBytes),
	maximumConnections: z._default(positive, defaultLimits.maximumConnections),
});

const operator = z.strictObject({
	name: id,
	role: z.enum(['read', 'write']),
	tokenHash: z.string().check(z.regex(/^[\da-f]{64}$/v, 'must be a SHA-256 in lower-case hexadecimal')),
});

/** The schema of the settings file. `findConflicts` checks the conditions that span several settings. */
export const settingsSchema = z.strictObject({
	apiVersion: z.literal(settingsApiVersion),
	node: id,
	dataCentre: id,
	region: id,
	listen: z.strictObject({http: listenAddress, peers: listenAddress}),
	peers: z._default(z.array(peer), []),
	voters: z.array(id).check(z.refine(
		voters => allowedVoterCounts.includes(voters.length),
		`must name ${allowedVoterCounts.join(', ')} voters`,
	)),
	dataFolder: z.optional(text),
	log: z.prefault(log, {}),
	limits: z.prefault(limits, {}),
	clusterSecret: z.string().check(z.minLength(minimumClusterSecretLength)),
	operators: z._default(z.array(operator), []),
	platformUrl: z.optional(httpUrl),
	seedRecordsFile: z.optional(text),
});

/** The parsed settings file, with defaults filled in. */
export type SettingsDocument = z.infer<typeof settingsSchema>;
