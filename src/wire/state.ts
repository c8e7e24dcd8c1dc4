/** The state service's messages. */

export interface Guard {
  key: string;
  revision: number;
}

export type Op = { put: string; value: unknown; lease?: number } | { remove: string };

export interface Item {
  key: string;
  value: unknown;
  revision: number;
}

export type Change =
  | { kind: 'put'; key: string; value: unknown; revision: number }
  | { kind: 'removed'; key: string; revision: number };

export class Garbled extends Error {}

const obj = (x: unknown): Record<string, unknown> => {
  if (x === null || typeof x !== 'object') throw new Garbled('not an object');
  return x as Record<string, unknown>;
};
const rev = (x: unknown): number => {
  if (typeof x !== 'number' || !Number.isSafeInteger(x) || x < 0) throw new Garbled('revision');
  return x;
};
const str = (x: unknown): string => {
  if (typeof x !== 'string') throw new Garbled('key');
  return x;
};

export const encodeCommit = (guards: Guard[], ops: Op[]): string =>
  JSON.stringify({
    guards: guards.map((g) => ({ path: g.key, mark: g.revision })),
    apply: ops.map((o) => {
      if ('remove' in o) return { remove: o.remove };
      const put: Record<string, unknown> = { put: o.put, data: o.value };
      if (o.lease !== undefined) put.loan = o.lease;
      return put;
    }),
  });

export const parseRevision = (raw: unknown): number => rev(obj(raw).ledger);

export function parseFailed(raw: unknown): string[] {
  const f = obj(raw).failed;
  return Array.isArray(f) ? f.map(str) : [];
}

export function parseItem(raw: unknown): Item {
  const o = obj(raw);
  return { key: str(o.path), value: o.data, revision: rev(o.mark) };
}

export function parsePage(raw: unknown): { items: Item[]; more: boolean; revision: number } {
  const o = obj(raw);
  if (!Array.isArray(o.items)) throw new Garbled('items');
  return { items: o.items.map(parseItem), more: o.more === true, revision: rev(o.ledger) };
}

export function parseChanges(raw: unknown): { revision: number; changes: Change[] } {
  const o = obj(raw);
  if (!Array.isArray(o.log)) throw new Garbled('log');
  return {
    revision: rev(o.ledger),
    changes: o.log.map((e): Change => {
      const c = obj(e);
      return c.put !== undefined
        ? { kind: 'put', key: str(c.put), value: c.data, revision: rev(c.mark) }
        : { kind: 'removed', key: str(c.remove), revision: rev(c.mark) };
    }),
  };
}

export const parseLease = (raw: unknown): number => rev(obj(raw).loan);

export const COMMIT_PATH = '/commit';
export const GRANTS_PATH = '/grants';
export const grantPath = (id: number): string => `/grants/${id}`;
export const extendPath = (id: number): string => `/grants/${id}/extend`;
export const encodeLife = (ms: number): string => JSON.stringify({ life_ms: ms });
export const keyPath = (key: string): string => `/keys/${key}`;
export const listPath = (prefix: string, after: string): string =>
  `/keys?prefix=${encodeURIComponent(prefix)}&limit=1000` +
  (after === '' ? '' : `&after=${encodeURIComponent(after)}`);
export const changesPath = (prefix: string, after: number, waitMs: number): string =>
  `/changes?prefix=${encodeURIComponent(prefix)}&after=${after}&block_ms=${waitMs}`;
