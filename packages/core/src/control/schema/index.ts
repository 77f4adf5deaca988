/** The schema versions in force, and the one internal form that both are read into. */
export {apiVersion1, type V1Document, type V1Kind} from './v1-schema.js';
export {apiVersion2} from './v2-schema.js';
export * from './documents.js';
export * as recordFields from './fields.js';
