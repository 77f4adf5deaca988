/** The operator API: its routes, and the functions of the daemon that they use. */
export type * from './types.js';
export * from './constants.js';
export {operatorRoutes} from './routes.js';
export {handleOperatorRequest} from './handle-operator-request.js';
export {hashSecret} from './authorize-operator.js';
export {createSecretDeriver} from './derive-secret.js';
export {createOperatorHttpRoutes, type OperatorHttpConfig} from './create-operator-http-routes.js';
