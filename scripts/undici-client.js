// The part of undici that the daemon uses. The whole of it, with its own fetch, caches and mocks, takes
// resident memory that an entry host does not have to spare.

import api from 'undici/lib/api/index.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

let sharedAgent;

export const request = async (url, options = {}) => {
	const {origin, pathname, search} = new URL(url);
	sharedAgent ??= new Agent();
	return sharedAgent.request({
		method: 'GET', ...options, origin, path: `${pathname}${search}`,
	});
};

export {default as errors} from 'undici/lib/core/errors.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
