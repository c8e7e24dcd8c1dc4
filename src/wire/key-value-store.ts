/** Messages of the key-value store's API. */

/** A key and the revision that it must have; 0: it must not exist. */
export interface Precondition {
  key: string;
  revision: number;
}

/** A put, optionally with the lease that the key is attached to, or a removal. */
export type Operation = { put: string; value: unknown; lease?: number } | { remove: string };

/** A key with its value and the revision of its latest change. */
export interface KeyValue {
  key: string;
  value: unknown;
  revision: number;
}

/** A change of a key. */
export type Change =
  | { kind: 'put'; key: string; value: unknown; revision: number }
  | { kind: 'removed'; key: string; revision: number };

/** A response of the store that violates the protocol. */
export class MalformedMessageError extends Error {}

const requireObject = (raw: unknown): Record<string, unknown> => {
  if (raw === null || typeof raw !== 'object') throw new MalformedMessageError('not an object');
  return raw as Record<string, unknown>;
};
const requireRevision = (raw: unknown): number => {
  if (typeof raw !== 'number' || !Number.isSafeInteger(raw) || raw < 0)
    throw new MalformedMessageError('revision');
  return raw;
};
const requireString = (raw: unknown): string => {
  if (typeof raw !== 'string') throw new MalformedMessageError('key');
  return raw;
};

/** Body of `POST /commit`: a compare-and-swap over several keys. */
export const encodeTransaction = (preconditions: Precondition[], operations: Operation[]): string =>
  JSON.stringify({
    guards: preconditions.map((precondition) => ({
      path: precondition.key,
      mark: precondition.revision,
    })),
    apply: operations.map((operation) => {
      if ('remove' in operation) return { remove: operation.remove };
      const put: Record<string, unknown> = { put: operation.put, data: operation.value };
      if (operation.lease !== undefined) put.loan = operation.lease;
      return put;
    }),
  });

/** Parses the revision of a response. Throws MalformedMessageError. */
export const parseRevision = (raw: unknown): number => requireRevision(requireObject(raw).ledger);

/** Parses the keys whose preconditions failed. Throws MalformedMessageError. */
export function parseFailedKeys(raw: unknown): string[] {
  const failed = requireObject(raw).failed;
  return Array.isArray(failed) ? failed.map(requireString) : [];
}

/** Parses a key with its value. Throws MalformedMessageError. */
export function parseItem(raw: unknown): KeyValue {
  const item = requireObject(raw);
  return { key: requireString(item.path), value: item.data, revision: requireRevision(item.mark) };
}

/** Parses a page of a listing. Throws MalformedMessageError. */
export function parsePage(raw: unknown): { items: KeyValue[]; more: boolean; revision: number } {
  const page = requireObject(raw);
  if (!Array.isArray(page.items)) throw new MalformedMessageError('items');
  return {
    items: page.items.map(parseItem),
    more: page.more === true,
    revision: requireRevision(page.ledger),
  };
}

/** Parses the changes since a revision. Throws MalformedMessageError. */
export function parseChanges(raw: unknown): { revision: number; changes: Change[] } {
  const response = requireObject(raw);
  if (!Array.isArray(response.log)) throw new MalformedMessageError('log');
  return {
    revision: requireRevision(response.ledger),
    changes: response.log.map((entry): Change => {
      const change = requireObject(entry);
      return change.put !== undefined
        ? {
            kind: 'put',
            key: requireString(change.put),
            value: change.data,
            revision: requireRevision(change.mark),
          }
        : {
            kind: 'removed',
            key: requireString(change.remove),
            revision: requireRevision(change.mark),
          };
    }),
  };
}

/** Parses the id of a granted lease. Throws MalformedMessageError. */
export const parseLeaseId = (raw: unknown): number => requireRevision(requireObject(raw).loan);

/** Path of transactions. */
export const TRANSACTION_PATH = '/commit';
/** Path of requests for new leases. */
export const LEASES_PATH = '/grants';
/** Path of a lease. */
export const leasePath = (id: number): string => `/grants/${id}`;
/** Path of renewals of a lease. */
export const leaseKeepAlivePath = (id: number): string => `/grants/${id}/extend`;
/** Body of a request for a lease with this time to live. */
export const encodeLeaseTtl = (ttlMs: number): string => JSON.stringify({ life_ms: ttlMs });
/** Path of a key. */
export const keyPath = (key: string): string => `/keys/${key}`;
/** Path of the page of a listing after a key; empty for the first page. */
export const listPath = (prefix: string, after: string): string =>
  `/keys?prefix=${encodeURIComponent(prefix)}&limit=1000` +
  (after === '' ? '' : `&after=${encodeURIComponent(after)}`);
/** Path of the changes after a revision; `waitMs`: how long the store waits for a change before it answers. */
export const changesPath = (prefix: string, after: number, waitMs: number): string =>
  `/changes?prefix=${encodeURIComponent(prefix)}&after=${after}&block_ms=${waitMs}`;
