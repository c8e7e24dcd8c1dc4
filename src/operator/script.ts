import { readFileSync } from 'node:fs';
import fengari from 'fengari';
import { DEFAULT_POLICY, type Policy } from './policy.js';

/**
 * The operator script is invalid or cannot be read. It is a Lua script that sets global variables. It runs
 * once at start, without libraries for files, processes or loading code, and with a limit on its steps:
 *
 *   omega = {1, 1, 1}   eta = 1   rho = 0.2   epsilon = 1   scaling = 0.001   heavy = 1
 */
export class ScriptError extends Error {}

const { lua, lauxlib, lualib, to_luastring, to_jsstring } = fengari;

/** Libraries that a script may use. */
const LIBRARIES: [string, unknown][] = [
  ['_G', lualib.luaopen_base],
  ['math', lualib.luaopen_math],
  ['string', lualib.luaopen_string],
  ['table', lualib.luaopen_table],
];
const BANNED_GLOBALS = ['dofile', 'loadfile', 'load', 'require', 'print', 'collectgarbage'];
/** A pattern match or string repetition can take a long time within a single interpreter step. */
const BANNED_STRING_FUNCTIONS = ['rep', 'find', 'match', 'gmatch', 'gsub', 'dump', 'format'];
/** Interpreter steps that a script may take. */
const MAX_STEPS = 1_000_000;
const MAX_BYTES = 64 * 1024;

const RANGES: Record<string, [number, number]> = {
  eta: [0, 10],
  rho: [0, 1],
  epsilon: [1e-6, 3600],
  scaling: [1e-9, 1000],
  heavy: [0, 100],
};
const POLICY_FIELDS: Record<string, 'eta' | 'rho' | 'epsilonS' | 'scaling' | 'heavy'> = {
  eta: 'eta',
  rho: 'rho',
  epsilon: 'epsilonS',
  scaling: 'scaling',
  heavy: 'heavy',
};

/** Reads and runs a script. Throws ScriptError if it cannot be read or is invalid. */
export function loadScript(file: string): Policy {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new ScriptError(
      `cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`,
    );
  }
  return runScript(text);
}

/** Returns the policy that a script sets, with defaults for what it omits. Throws ScriptError. */
export function runScript(text: string): Policy {
  if (text.length > MAX_BYTES) throw new ScriptError('is over 64 KiB');
  const state = makeSandbox();
  const builtinNames = new Set(globals(state).keys());
  execute(state, text);
  const policy: Policy = { ...DEFAULT_POLICY };
  for (const [name, value] of globals(state)) {
    if (!builtinNames.has(name)) setFactor(policy, name, value, lineOf(text, name));
  }
  return policy;
}

/** Creates a Lua state with the permitted part of the standard library. */
function makeSandbox(): unknown {
  const state = lauxlib.luaL_newstate();
  for (const [name, open] of LIBRARIES) {
    lauxlib.luaL_requiref(state, to_luastring(name), open, 1);
    lua.lua_pop(state, 1);
  }
  for (const name of BANNED_GLOBALS) {
    lua.lua_pushnil(state);
    lua.lua_setglobal(state, to_luastring(name));
  }
  lua.lua_getglobal(state, to_luastring('string'));
  for (const name of BANNED_STRING_FUNCTIONS) {
    lua.lua_pushnil(state);
    lua.lua_setfield(state, -2, to_luastring(name));
  }
  lua.lua_pop(state, 1);
  return state;
}

/** Runs a script with the limit on its steps. Throws ScriptError. */
function execute(state: unknown, text: string): void {
  const stop = (): never => lauxlib.luaL_error(state, to_luastring('takes too many steps'));
  lua.lua_sethook(state, stop, lua.LUA_MASKCOUNT, MAX_STEPS);
  const status =
    lauxlib.luaL_loadbuffer(state, to_luastring(text), null, to_luastring('=script')) ||
    lua.lua_pcall(state, 0, 0, 0);
  if (status !== lua.LUA_OK) throw new ScriptError(to_jsstring(lauxlib.luaL_tolstring(state, -1)));
  lua.lua_sethook(state, null, 0, 0);
}

/** Sets one factor of the policy. `location`: the line of the script, for error messages. */
function setFactor(policy: Policy, name: string, value: unknown, location: string): void {
  if (name === 'omega') {
    const isTriple = Array.isArray(value) && value.length === 3;
    if (!isTriple || !value.every((factor) => inRange(factor, 0, 1000))) {
      throw new ScriptError(`${location}omega: must be three numbers from 0 to 1000`);
    }
    policy.omega = value as [number, number, number];
    return;
  }
  const range = RANGES[name];
  if (range === undefined) throw new ScriptError(`${location}${name}: unknown name`);
  if (!inRange(value, range[0], range[1])) {
    throw new ScriptError(`${location}${name}: must be a number from ${range[0]} to ${range[1]}`);
  }
  policy[POLICY_FIELDS[name]!] = value as number;
}

const inRange = (value: unknown, min: number, max: number): boolean =>
  typeof value === 'number' && value >= min && value <= max;

/** The line on which a global is set, for error messages. */
function lineOf(text: string, name: string): string {
  const at = text.split('\n').findIndex((line) => new RegExp(`^\\s*${name}\\s*=`).test(line));
  return at < 0 ? '' : `script:${at + 1}: `;
}

/** Names and values of the global variables; tables as arrays of their values. */
function globals(state: unknown): Map<string, unknown> {
  const out = new Map<string, unknown>();
  lua.lua_pushglobaltable(state);
  lua.lua_pushnil(state);
  while (lua.lua_next(state, -2) !== 0) {
    if (lua.lua_type(state, -2) === lua.LUA_TSTRING) {
      out.set(to_jsstring(lua.lua_tostring(state, -2)), valueAt(state, -1));
    }
    lua.lua_pop(state, 1);
  }
  lua.lua_pop(state, 1);
  return out;
}

function valueAt(state: unknown, index: number): unknown {
  switch (lua.lua_type(state, index)) {
    case lua.LUA_TNUMBER:
      return lua.lua_tonumber(state, index);
    case lua.LUA_TTABLE: {
      const length = Number(lua.lua_rawlen(state, index));
      const list: unknown[] = [];
      for (let i = 1; i <= Math.min(length, 4); i++) {
        lua.lua_rawgeti(state, index < 0 ? index : index, i);
        list.push(lua.lua_type(state, -1) === lua.LUA_TNUMBER ? lua.lua_tonumber(state, -1) : null);
        lua.lua_pop(state, 1);
      }
      return list;
    }
    default:
      return null;
  }
}
