// Exports the part of undici that the programs use. The whole package, with its fetch, caches and mocks,
// takes more resident memory than an entry host can spare.

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
