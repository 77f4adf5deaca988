/** The operators' interface: its routes, and what it needs of the daemon. */
export type * from './types.js';
export * from './constants.js';
export {operatorRoutes} from './routes.js';
export {handleOperatorRequest} from './handle-operator-request.js';
export {hashSecret} from './authorize-operator.js';
export {createSecretDeriver} from './derive-secret.js';
export {createOperatorHttpRoutes, type OperatorHttpConfig} from './create-operator-http-routes.js';
