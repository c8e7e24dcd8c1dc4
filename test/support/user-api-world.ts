/** A controller's user API over an in-memory key-value store. */
import type { TokenBucket } from '../../src/clock.js';
import { UserApi, type UserApiOptions } from '../../src/api/user-api.js';
import { silentLog } from '../../src/log.js';
import { ReplicaSync } from '../../src/store/replica-sync.js';
import type { Replica } from '../../src/store/replica.js';
import { RequestWriter } from '../../src/store/request-writer.js';
import { g8, settings } from '../helpers.js';
import type { MemoryStore } from './memory-store.js';
import { fake } from './fake.js';

/** Id of the submitted job. */
export const JOB = 'wk-000412';
/** A valid submission. */
export const VALID = {
  ref: JOB, guild: 'train', crew: 't', form: 'batch', rank: 'high', pieces: 2, cores: 1.0,
  gpus: 1.0, mem_gb: 6.0, mould: 'i', image_gb: 6.2, castings: ['g8'], yard: null, one_zone: true,
  scatter: false, loaner: true, reckon_s: 240.0, stamp_s: 30.0, stamping_s: 4.0, due_s: 900.0,
}; // prettier-ignore

/** Encodes the valid submission with changes. */
export const body = (change: Record<string, unknown> = {}): Buffer =>
  Buffer.from(JSON.stringify({ ...VALID, ...change }));

/** A user API with its replica and sync. */
export interface UserApiWorld {
  userApi: UserApi;
  replicaSync: ReplicaSync;
  replica: Replica;
}

/** Builds a user API whose replica has listed the store and reads it again only when a request requires it. */
export function makeUserApiWorld(
  store: MemoryStore,
  name: string,
  overrides: Partial<UserApiOptions> = {},
): UserApiWorld {
  const clock = { now: () => 0 };
  const log = silentLog();
  const replica = store.listedReplica();
  const storeClient = store.client();
  const replicaSync = new ReplicaSync({
    store: storeClient,
    replica,
    clock,
    log,
    pauseS: () => 0,
    minSyncIntervalS: 0,
  });
  replicaSync.ready = true;
  const forceTake = (): void => undefined;
  const budget = fake<TokenBucket>({ tryTake: () => true, perSecond: 100, forceTake });
  const requestWriter = new RequestWriter({
    incarnation: name,
    store: storeClient,
    replicaSync,
    replica,
    budget,
    clock,
    log,
  });
  const userApi = new UserApi({
    settings: settings(),
    replicaSync,
    replica,
    requestWriter,
    types: () => [g8],
    announceCancellation: () => Promise.resolve(0),
    confirmCancellation: () => Promise.resolve(true),
    isOldVersionPresent: () => false,
    wallMs: () => 1000,
    log,
    ...overrides,
  });
  return { userApi, replicaSync, replica };
}

/** The status of a reply and the job's state in it, as text. */
export async function replyText(
  reply: Promise<{ status: number; body?: unknown }>,
): Promise<string> {
  const { status, body: text } = await reply;
  const { temper = '' } = JSON.parse(String(text ?? '{}')) as { temper?: string };
  return `${status} ${temper}`.trim();
}
