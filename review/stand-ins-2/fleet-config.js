/** The configurations that the stand-in operator sends. */

/** Creates a queue. */
export const createQueue = (name, service, {isPublic = false, priority = 0} = {}) => ({
	name, host: 'pumps.example', pathPrefix: `/${name}/`, routeType: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 600, priority, service, maxAttempts: 4, stretchFactor: 1.6, public: isPublic,
});

/** Creates a configuration with one tenant, `parish`, whose key is `key-parish-1`. */
export const createConfig = (version, routes, {services = ['alarms', 'storms'], standby = 'rota'} = {}) => ({
	version,
	routes,
	services: [...services, standby].map(name => ({
		name, healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, rejectsOverload: false, standby: name === standby,
	})),
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{
		name: 'parish', apiKeys: ['key-parish-1'], priority: 1, weight: 24, maximum: {cpu: 900_000, memMb: 1_200_000, gpu: 0},
	}],
});
