/** Public exports of the library. */
export { Controller, type ControllerOptions } from './controller/controller.js';
export { loadSettings, parseSettings, SettingsError, type Settings } from './config/settings.js';
export { DEFAULT_POLICY, type Policy } from './operator/policy.js';
export { makeLog, type Log } from './log.js';
