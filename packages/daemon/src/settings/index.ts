/** The daemon's settings: format, defaults and validation. */
export type * from './types.js';
export {settingsApiVersion, defaultLimits} from './constants.js';
export {loadSettings, restoreSettings} from './load-settings.js';
