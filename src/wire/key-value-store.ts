/** The state service's messages. */

export interface Precondition {
  key: string;
  revision: number;
}

export type Operation = { put: string; value: unknown; lease?: number } | { remove: string };

export interface KeyValue {
  key: string;
  value: unknown;
  revision: number;
}

export type Change =
  | { kind: 'put'; key: string; value: unknown; revision: number }
  | { kind: 'removed'; key: string; revision: number };

export class MalformedMessageError extends Error {}

const objectOf = (x: unknown): Record<string, unknown> => {
  if (x === null || typeof x !== 'object') throw new MalformedMessageError('not an object');
  return x as Record<string, unknown>;
};
const revisionOf = (x: unknown): number => {
  if (typeof x !== 'number' || !Number.isSafeInteger(x) || x < 0)
    throw new MalformedMessageError('revision');
  return x;
};
const stringOf = (x: unknown): string => {
  if (typeof x !== 'string') throw new MalformedMessageError('key');
  return x;
};

export const encodeTransaction = (guards: Precondition[], ops: Operation[]): string =>
  JSON.stringify({
    guards: guards.map((precondition) => ({ path: precondition.key, mark: precondition.revision })),
    apply: ops.map((operation) => {
      if ('remove' in operation) return { remove: operation.remove };
      const put: Record<string, unknown> = { put: operation.put, data: operation.value };
      if (operation.lease !== undefined) put.loan = operation.lease;
      return put;
    }),
  });

export const parseRevision = (raw: unknown): number => revisionOf(objectOf(raw).ledger);

export function parseFailedKeys(raw: unknown): string[] {
  const f = objectOf(raw).failed;
  return Array.isArray(f) ? f.map(stringOf) : [];
}

export function parseItem(raw: unknown): KeyValue {
  const o = objectOf(raw);
  return { key: stringOf(o.path), value: o.data, revision: revisionOf(o.mark) };
}

export function parsePage(raw: unknown): { items: KeyValue[]; more: boolean; revision: number } {
  const o = objectOf(raw);
  if (!Array.isArray(o.items)) throw new MalformedMessageError('items');
  return { items: o.items.map(parseItem), more: o.more === true, revision: revisionOf(o.ledger) };
}

export function parseChanges(raw: unknown): { revision: number; changes: Change[] } {
  const o = objectOf(raw);
  if (!Array.isArray(o.log)) throw new MalformedMessageError('log');
  return {
    revision: revisionOf(o.ledger),
    changes: o.log.map((e): Change => {
      const c = objectOf(e);
      return c.put !== undefined
        ? { kind: 'put', key: stringOf(c.put), value: c.data, revision: revisionOf(c.mark) }
        : { kind: 'removed', key: stringOf(c.remove), revision: revisionOf(c.mark) };
    }),
  };
}

export const parseLeaseId = (raw: unknown): number => revisionOf(objectOf(raw).loan);

export const TRANSACTION_PATH = '/commit';
export const LEASES_PATH = '/grants';
export const leasePath = (id: number): string => `/grants/${id}`;
export const leaseKeepAlivePath = (id: number): string => `/grants/${id}/extend`;
export const encodeLeaseTtl = (ms: number): string => JSON.stringify({ life_ms: ms });
export const keyPath = (key: string): string => `/keys/${key}`;
export const listPath = (prefix: string, after: string): string =>
  `/keys?prefix=${encodeURIComponent(prefix)}&limit=1000` +
  (after === '' ? '' : `&after=${encodeURIComponent(after)}`);
export const changesPath = (prefix: string, after: number, waitMs: number): string =>
  `/changes?prefix=${encodeURIComponent(prefix)}&after=${after}&block_ms=${waitMs}`;
