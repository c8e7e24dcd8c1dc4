import type { Settings } from '../config/settings.js';
import type { Reply } from '../http/server.js';
import type { MachineType } from '../jobs/types.js';
import type { Log } from '../log.js';
import { whyItNeverRuns } from '../scheduler/quota.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { RequestWriter } from '../store/request-writer.js';
import { outcome, type StoredJob } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import {
  BadMessage,
  encodeAccepted,
  encodeError,
  encodeStatus,
  parseObject,
  parseSubmission,
  validId,
  type ShownState,
} from '../wire/users.js';
import type { JobSpec } from '../jobs/types.js';

/** How long storing may take: users wait 5 s for a submission, and the next try may be elsewhere. */
const SUBMIT_S = 2;

const UNSURE: Reply = { status: 503, retryAfter: 1 };
/** An older version serves beside this one: what it does not know is not asked of it. */
const UPGRADING: Reply = { status: 503, retryAfter: 2 };
/** It can never run. */
const invalid = (why: string): Reply => ({ status: 422, body: encodeError(why) });
const TOO_LARGE = 'larger than what the state service takes of one job';

/** What a `UserApi` works with. */
export interface UserApiOptions {
  settings: Settings;
  replicaSync: Pick<ReplicaSync, 'ready' | 'sync'>;
  replica: Replica;
  requestWriter: RequestWriter;
  types: () => MachineType[] | null;
  /** Seconds after which a cancellation can be taken; 0: now. */
  announceCancellation: (id: string) => Promise<number>;
  /** Whether users may be told of a stored cancellation. */
  confirmCancellation: (storedJob: StoredJob, id: string) => Promise<boolean>;
  /** Whether a controller is there that does not know jobs that need other jobs. */
  isOldVersionPresent: () => boolean;
  wallMs: () => number;
  log: Log;
}

/** The users' interface. Nothing is told that is not stored, and nothing older than was told. */
export class UserApi {
  private readonly settings: Settings;
  private readonly replicaSync: UserApiOptions['replicaSync'];
  private readonly replica: Replica;
  private readonly requestWriter: RequestWriter;
  private readonly types: () => MachineType[] | null;

  constructor(private readonly options: UserApiOptions) {
    this.settings = options.settings;
    this.replicaSync = options.replicaSync;
    this.replica = options.replica;
    this.requestWriter = options.requestWriter;
    this.types = options.types;
  }

  /** Whether the replica holds the store, so that requests can be answered. */
  ready(): boolean {
    return this.replicaSync.ready && this.types() !== null;
  }

  /** Whether the answer rests on nothing but what never changes any more. */
  knows(request: { to: string; id?: string }): boolean {
    const storedJob = request.id === undefined ? undefined : this.replica.jobs.get(request.id);
    return storedJob !== undefined && outcome(storedJob) !== 'open' && this.replicaSync.ready;
  }

  private shown(storedJob: StoredJob): ShownState {
    const state = outcome(storedJob);
    if (state !== 'open') return state;
    return storedJob.claimCount > 0 || storedJob.doneTasks > 0 ? 'running' : 'queued';
  }

  /** Answers a submission: 201 once it is stored, 200 for a repeated one, 4xx where it can never run. */
  async submit(body: Buffer): Promise<Reply> {
    let spec: JobSpec;
    try {
      spec = parseSubmission(body);
    } catch (error) {
      if (!(error instanceof BadMessage)) throw error;
      const reply = { status: 400, body: encodeError(error.message) };
      return this.refuse(this.idOf(body), reply, error.message);
    }
    const known = this.replica.jobs.get(spec.id);
    if (known !== undefined) return this.current(spec.id);
    const types = this.types();
    if (!this.replicaSync.ready || types === null || this.requestWriter.full(SUBMIT_S))
      return UNSURE;
    const never = whyItNeverRuns(spec, this.settings.teams, types);
    if (never !== null) return this.refuse(spec.id, invalid(never), never);
    const accepted = { spec, atMs: Math.round(this.options.wallMs()) };
    if (!this.requestWriter.fits(accepted))
      return this.refuse(spec.id, invalid(TOO_LARGE), TOO_LARGE);
    if (spec.dependencies.length > 0) {
      if (this.options.isOldVersionPresent()) return this.refuse(spec.id, UPGRADING, 'upgrading');
      const obstacle = await this.cannotAwait(spec);
      if (obstacle === 'unsure') return UNSURE;
      if (obstacle !== null) return this.refuse(spec.id, invalid(obstacle.reason), obstacle.reason);
    }
    const state = await this.requestWriter.accept(accepted, SUBMIT_S);
    const storedJob = this.replica.jobs.get(spec.id);
    if (
      state === null ||
      storedJob === undefined ||
      !(await this.confirmCancellation(storedJob, spec.id))
    )
      return UNSURE;
    return { status: 201, body: encodeAccepted(spec.id, this.shown(storedJob)) };
  }

  /**
   * Why a job can never await what it names; null: it can. That a job was never accepted is said only
   * after a read that began by now: another controller may have accepted it a millisecond ago.
   */
  private async cannotAwait(spec: JobSpec): Promise<{ reason: string } | 'unsure' | null> {
    if (spec.dependencies.includes(spec.id)) return { reason: 'awaits itself' };
    const known = (id: string): boolean => this.replica.jobs.has(id);
    if (!spec.dependencies.every(known) && !(await this.replicaSync.sync())) return 'unsure';
    for (const id of spec.dependencies) {
      const needed = this.replica.jobs.get(id);
      if (needed === undefined) return { reason: `awaits ${id}, which was never accepted` };
      if (needed.spec.kind === 'service') return { reason: `awaits ${id}, which is a service` };
    }
    return null;
  }

  private idOf(body: Buffer): string | null {
    try {
      const ref = parseObject(body).ref;
      return typeof ref === 'string' && validId(ref) ? ref : null;
    } catch {
      return null;
    }
  }

  /** An accepted job is never refused later, whatever its repetition looks like. */
  private async refuse(id: string | null, reply: Reply, why: string): Promise<Reply> {
    if (id !== null) {
      if (!(await this.replicaSync.sync())) return UNSURE;
      if (this.replica.jobs.has(id)) return this.current(id);
    }
    this.options.log.debug({ id, why }, 'submission refused');
    return reply;
  }

  private async current(id: string): Promise<Reply> {
    const storedJob = await this.fresh(id);
    if (storedJob === null || storedJob === undefined) return UNSURE;
    if (!(await this.confirmCancellation(storedJob, id))) return UNSURE;
    return { status: 200, body: encodeAccepted(id, this.shown(storedJob)) };
  }

  /**
   * Whether what is known of a job may be told. A cancellation is told, by whatever answer, only once
   * a majority of controllers knows of it: an outage may begin at this moment, and the leases of its
   * tasks must not be renewed all through it.
   */
  private async confirmCancellation(storedJob: StoredJob, id: string): Promise<boolean> {
    return outcome(storedJob) !== 'cancelled' || this.options.confirmCancellation(storedJob, id);
  }

  /** The job as of now; undefined: nobody submitted it; null: unsure. A final state never changes. */
  private async fresh(id: string): Promise<StoredJob | undefined | null> {
    const before = this.replica.jobs.get(id);
    if (before !== undefined && outcome(before) !== 'open' && this.replicaSync.ready) return before;
    if (!(await this.replicaSync.sync())) return null;
    return this.replica.jobs.get(id);
  }

  /** Answers a question about a job; 404: it was never accepted. */
  async poll(id: string): Promise<Reply> {
    if (!validId(id)) return { status: 404, body: encodeError('no such job') };
    const storedJob = await this.fresh(id);
    if (storedJob === null) return UNSURE;
    if (storedJob === undefined) return { status: 404, body: encodeError('no such job') };
    if (!(await this.confirmCancellation(storedJob, id))) return UNSURE;
    const state = this.shown(storedJob);
    const done = state === 'done' ? storedJob.spec.tasks : storedJob.doneTasks;
    const running =
      state === 'running' ? Math.min(storedJob.claimCount, storedJob.spec.tasks - done) : 0;
    return { status: 200, body: encodeStatus(id, state, done, running) };
  }

  /** Answers a cancellation: 200 once it is stored and confirmed, 503 while that is not certain. */
  async cancel(id: string): Promise<Reply> {
    if (!validId(id)) return { status: 404, body: encodeError('no such job') };
    const storedJob = await this.fresh(id);
    if (storedJob === null) return UNSURE;
    if (storedJob === undefined) return { status: 404, body: encodeError('no such job') };
    let state: string | null = outcome(storedJob);
    if (state === 'open') {
      const wait = await this.options.announceCancellation(id);
      if (wait > 0) return { status: 503, retryAfter: wait };
      state = await this.requestWriter.cancel(id, SUBMIT_S);
    }
    if (state !== 'done' && state !== 'cancelled') return UNSURE;
    if (!(await this.confirmCancellation(storedJob, id))) return UNSURE;
    return { status: 200, body: encodeAccepted(id, state) };
  }
}
