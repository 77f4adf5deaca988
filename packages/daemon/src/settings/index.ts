/** The daemon's settings: their format, their defaults and every check on them. */
export type * from './types.js';
export {settingsApiVersion, defaultLimits} from './constants.js';
export {loadSettings, restoreSettings} from './load-settings.js';
