/**
 * A small deployment for a case: the processes, the stand-in of the platform, the stand-in minions, and a client and an operator.
 */
import {randomBytes} from 'node:crypto';
import {startAdvice} from './advice.js';
import {CaseError} from './case.js';
import {
	callControl, callHttp, createCluster, createNetwork, findFreePort, waitForReadiness, waitUntil,
} from './cluster.js';
import {startMinion} from './minion.js';
import {startPlatform} from './platform.js';

const minionsPerRack = 4;

/** Host of the callers' requests, prefix of the queue, and the key of the tenant. */
export const queue = {host: 'parish.example', prefix: '/orders/', key: 'key-of-parish-1'};

/** Name of the service whose minions run the queue's tasks. */
export const service = 'counter';

/** Creates a configuration with one queue, one service and one tenant. */
export const createConfiguration = (version, {maximum = {cpu: 0, memMb: 0, gpu: 0}, advice} = {}) => ({
	version,
	routes: [{
		name: 'r-orders',
		host: queue.host,
		pathPrefix: queue.prefix,
		routeType: 'non_idempotent',
		timeoutMs: 3000,
		targetLatencyMs: 600,
		priority: 0,
		service,
		maxAttempts: 4,
		stretchFactor: 1.6,
		public: false,
		...(advice !== undefined && {advice}),
	}],
	services: [{
		name: service, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, rejectsOverload: false, standby: false,
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{
		name: 'parish', apiKeys: [queue.key], priority: 1, weight: 100, maximum,
	}],
});

/** Draws the id of a job. */
export const createJobId = () => randomBytes(8).toString('hex');

/**
 * Starts everything, puts the first configuration in force, and waits until the entry hosts take work.
 *
 * @param options - `minionCount` minions of `capacity` each; the other options are passed on to the minions.
 */
export async function startFleet({record, defer, minionCount, capacity, configuration, ...minionOptions}) {
	const network = createNetwork();
	const minionHost = `${network}.100`;
	const cloudPort = await findFreePort(minionHost);
	const minions = [];
	const policy = configuration.routes[0].advice;
	const advicePort = await findFreePort(minionHost);
	let advice;
	if (policy !== undefined) {
		advice = await startAdvice({
			host: minionHost, port: advicePort, policy, record,
		});
		defer(advice.close);
	}

	const hasTicket = ({minion, task, ticket}) => advice === undefined || advice.isValid(task.slice(0, task.lastIndexOf('.')), minion, ticket);
	const platform = await startPlatform({
		host: minionHost,
		port: cloudPort,
		record,
		listMachines: () => minions.map(({id, getCapacity}) => ({
			machine: `m-${id}`, pool: service, state: 'up', zone: 'cork-east', labels: ['a'], capacity: getCapacity(), id,
		})),
	});
	defer(platform.close);
	for (let index = 0; index < minionCount; index += 1) {
		const port = await findFreePort(minionHost); // eslint-disable-line no-await-in-loop -- each must be another one
		// eslint-disable-next-line no-await-in-loop -- a few minions
		const minion = await startMinion({
			id: `i-${index + 1}`,
			service,
			host: minionHost,
			port,
			capacity,
			labels: ['a', `r1-${Math.floor(index / minionsPerRack) + 1}`],
			record,
			hasTicket,
			...minionOptions,
		});
		minions.push(minion);
		defer(minion.close);
	}

	const cluster = await createCluster({
		network, cloudAddress: `${minionHost}:${cloudPort}`, ...(advice !== undefined && {adviceAddress: `${minionHost}:${advicePort}`}), record,
	});
	defer(cluster.close);
	await cluster.start();
	const replaceConfiguration = async document => {
		const answer = await callControl(cluster, {method: 'POST', target: '/Config.Replace', body: document});
		record(`the operator sends version ${document.version}: ${answer?.status}`);
		return answer?.status;
	};

	if (await replaceConfiguration(configuration) !== 200 || await waitForReadiness(cluster) === undefined) {
		throw new CaseError('the cluster did not take its first configuration');
	}

	for (const minion of minions) {
		minion.beginReports(cluster.controlAddresses, minionOptions.onReported);
	}

	let turn = 0;
	const callEntry = async ({method, id, body}) => {
		turn += 1;
		const answer = await callHttp({
			address: cluster.entryAddresses[turn % cluster.entryAddresses.length],
			method,
			target: `${queue.prefix}${id}`,
			body,
			headers: {host: queue.host, 'api-key': queue.key, 'x-samphiremill-deadline-ms': '3000'},
		});
		record(`the client sends ${method} ${id}: ${answer.status} ${JSON.stringify(answer.body ?? '')}`);
		return answer;
	};

	return {
		cluster,
		minions,
		advice,
		replaceConfiguration,
		callEntry,
		/** Hands a job in until it is accepted. */
		async submitJob(body) {
			const id = createJobId();
			const answer = await waitUntil(async () => {
				const {status} = await callEntry({method: 'POST', id, body});
				return status === 200 ? status : undefined;
			}, 10_000, 300);
			if (answer === undefined) {
				throw new CaseError(`the job ${id} was not accepted`);
			}

			return id;
		},
		checkExits() {
			const exits = cluster.listUnexpectedExits();
			if (exits.length > 0) {
				throw new CaseError(exits.join('; '));
			}
		},
	};
}
