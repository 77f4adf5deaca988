/** The supported schema versions, and the internal form that documents of both are converted to. */
export {apiVersion1, type V1Document, type V1Kind} from './v1-schema.js';
export {apiVersion2} from './v2-schema.js';
export * from './documents.js';
export * as recordFields from './fields.js';
