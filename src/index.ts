/** The library: what the program and the tests are made of. */
export { Node, type NodeOptions } from './service/node.js';
export { loadSettings, parseSettings, SettingsError, type Settings } from './config/settings.js';
export { DEFAULT_POLICY, type Policy } from './operator/policy.js';
export { makeLog, type Log } from './log.js';
