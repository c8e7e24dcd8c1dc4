/** Types of the used part of fengari, which has none of its own. */
declare module 'fengari' {
  type LuaString = Uint8Array;
  interface Lua {
    readonly LUA_OK: number;
    readonly LUA_TNUMBER: number;
    readonly LUA_TSTRING: number;
    readonly LUA_TTABLE: number;
    readonly LUA_MASKCOUNT: number;
    lua_pop(L: unknown, n: number): void;
    lua_pushnil(L: unknown): void;
    lua_setglobal(L: unknown, name: LuaString): void;
    lua_getglobal(L: unknown, name: LuaString): number;
    lua_setfield(L: unknown, index: number, name: LuaString): void;
    lua_sethook(L: unknown, hook: (() => void) | null, mask: number, count: number): void;
    lua_pcall(L: unknown, args: number, results: number, handler: number): number;
    lua_pushglobaltable(L: unknown): void;
    lua_next(L: unknown, index: number): number;
    lua_type(L: unknown, index: number): number;
    lua_tostring(L: unknown, index: number): LuaString;
    lua_tonumber(L: unknown, index: number): number;
    lua_rawlen(L: unknown, index: number): number | bigint;
    lua_rawgeti(L: unknown, index: number, i: number): number;
  }
  const fengari: {
    lua: Lua;
    lauxlib: {
      luaL_newstate(): unknown;
      luaL_requiref(L: unknown, name: LuaString, open: unknown, global: number): void;
      luaL_loadbuffer(L: unknown, text: LuaString, size: null, name: LuaString): number;
      luaL_error(L: unknown, message: LuaString): never;
      luaL_tolstring(L: unknown, index: number): LuaString;
    };
    lualib: Record<string, unknown>;
    to_luastring(text: string): LuaString;
    to_jsstring(text: LuaString): string;
  };
  export default fengari;
}
