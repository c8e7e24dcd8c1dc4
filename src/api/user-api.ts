import type { Settings } from '../config/settings.js';
import type { Reply } from '../http/server.js';
import type { MachineType } from '../jobs/types.js';
import type { Log } from '../log.js';
import { unsatisfiableReason } from '../scheduler/quota.js';
import type { ReplicaSync } from '../store/replica-sync.js';
import type { RequestWriter } from '../store/request-writer.js';
import { outcome, type StoredJob } from '../store/stored-job.js';
import type { Replica } from '../store/replica.js';
import {
  BadRequestError,
  encodeAccepted,
  encodeError,
  encodeStatus,
  parseObject,
  parseSubmission,
  validId,
  type UserFacingJobState,
} from '../wire/users.js';
import type { JobSpec } from '../jobs/types.js';

/** Time-out of a write to the store: users wait 5 s, which leaves time for a try at another controller. */
const STORE_TIMEOUT_S = 2;

const RETRY_LATER: Reply = { status: 503, retryAfter: 1 };
/** Jobs with dependencies are refused while a controller runs a version that does not support them. */
const UPGRADE_IN_PROGRESS: Reply = { status: 503, retryAfter: 2 };
/** The job can never run. */
const unprocessable = (reason: string): Reply => ({ status: 422, body: encodeError(reason) });
const JOB_TOO_LARGE = 'larger than what the state service takes of one job';

/** Dependencies of a `UserApi`. */
export interface UserApiOptions {
  settings: Settings;
  replicaSync: Pick<ReplicaSync, 'ready' | 'sync'>;
  replica: Replica;
  requestWriter: RequestWriter;
  types: () => MachineType[] | null;
  /** Returns the seconds after which the cancellation may be stored; 0: now. */
  announceCancellation: (id: string) => Promise<number>;
  /** Whether a stored cancellation may be reported to users. */
  confirmCancellation: (storedJob: StoredJob, id: string) => Promise<boolean>;
  /** Whether a controller is present whose version does not support jobs with dependencies. */
  isOldVersionPresent: () => boolean;
  wallMs: () => number;
  log: Log;
}

/** The users' API. It reports only what is stored, and never a state older than one already reported. */
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

  /** Whether the replica is loaded and the machine types are known, so that requests can be answered. */
  ready(): boolean {
    return this.replicaSync.ready && this.types() !== null;
  }

  /** Whether the job is known to be in a final state, so that the answer can no longer change. */
  hasFinalState(request: { to: string; id?: string }): boolean {
    const storedJob = request.id === undefined ? undefined : this.replica.jobs.get(request.id);
    return storedJob !== undefined && outcome(storedJob) !== 'open' && this.replicaSync.ready;
  }

  private shownState(storedJob: StoredJob): UserFacingJobState {
    const state = outcome(storedJob);
    if (state !== 'open') return state;
    return storedJob.claimCount > 0 || storedJob.doneTasks > 0 ? 'running' : 'queued';
  }

  /** Answers a submission: 201 once it is stored, 200 for a repeated one, 4xx if it is invalid or can never run. */
  async submit(body: Buffer): Promise<Reply> {
    let spec: JobSpec;
    try {
      spec = parseSubmission(body);
    } catch (error) {
      if (!(error instanceof BadRequestError)) throw error;
      const reply = { status: 400, body: encodeError(error.message) };
      return this.refuse(this.parseJobId(body), reply, error.message);
    }
    const existing = this.replica.jobs.get(spec.id);
    if (existing !== undefined) return this.replyWithCurrentState(spec.id);
    const types = this.types();
    if (!this.replicaSync.ready || types === null || this.requestWriter.isFull(STORE_TIMEOUT_S))
      return RETRY_LATER;
    const rejection = unsatisfiableReason(spec, this.settings.teams, types);
    if (rejection !== null) return this.refuse(spec.id, unprocessable(rejection), rejection);
    const accepted = { spec, acceptedAtMs: Math.round(this.options.wallMs()) };
    if (!this.requestWriter.fits(accepted))
      return this.refuse(spec.id, unprocessable(JOB_TOO_LARGE), JOB_TOO_LARGE);
    if (spec.dependencies.length > 0) {
      if (this.options.isOldVersionPresent())
        return this.refuse(spec.id, UPGRADE_IN_PROGRESS, 'upgrading');
      const problem = await this.findDependencyProblem(spec);
      if (problem === 'unsure') return RETRY_LATER;
      if (problem !== null)
        return this.refuse(spec.id, unprocessable(problem.reason), problem.reason);
    }
    const state = await this.requestWriter.accept(accepted, STORE_TIMEOUT_S);
    const storedJob = this.replica.jobs.get(spec.id);
    if (
      state === null ||
      storedJob === undefined ||
      !(await this.confirmCancellation(storedJob, spec.id))
    )
      return RETRY_LATER;
    return { status: 201, body: encodeAccepted(spec.id, this.shownState(storedJob)) };
  }

  /**
   * Returns why a job's dependencies are invalid; null: they are valid. A dependency counts as never
   * accepted only after a read that began after this call: another controller may just have accepted it.
   */
  private async findDependencyProblem(
    spec: JobSpec,
  ): Promise<{ reason: string } | 'unsure' | null> {
    if (spec.dependencies.includes(spec.id)) return { reason: 'awaits itself' };
    const isAccepted = (id: string): boolean => this.replica.jobs.has(id);
    if (!spec.dependencies.every(isAccepted) && !(await this.replicaSync.sync())) return 'unsure';
    for (const id of spec.dependencies) {
      const dependency = this.replica.jobs.get(id);
      if (dependency === undefined) return { reason: `awaits ${id}, which was never accepted` };
      if (dependency.spec.kind === 'service') return { reason: `awaits ${id}, which is a service` };
    }
    return null;
  }

  private parseJobId(body: Buffer): string | null {
    try {
      const ref = parseObject(body).ref;
      return typeof ref === 'string' && validId(ref) ? ref : null;
    } catch {
      return null;
    }
  }

  /** Refuses a submission, unless its job was accepted before: then even a malformed repetition is not refused. */
  private async refuse(id: string | null, reply: Reply, why: string): Promise<Reply> {
    if (id !== null) {
      if (!(await this.replicaSync.sync())) return RETRY_LATER;
      if (this.replica.jobs.has(id)) return this.replyWithCurrentState(id);
    }
    this.options.log.debug({ id, why }, 'submission refused');
    return reply;
  }

  private async replyWithCurrentState(id: string): Promise<Reply> {
    const storedJob = await this.readCurrent(id);
    if (storedJob === null || storedJob === undefined) return RETRY_LATER;
    if (!(await this.confirmCancellation(storedJob, id))) return RETRY_LATER;
    return { status: 200, body: encodeAccepted(id, this.shownState(storedJob)) };
  }

  /**
   * Whether the known state of a job may be reported. No answer reports a cancellation before a majority
   * of controllers knows of it: otherwise, if an outage begins at this moment, the leases of the job's tasks
   * could be renewed throughout it.
   */
  private async confirmCancellation(storedJob: StoredJob, id: string): Promise<boolean> {
    return outcome(storedJob) !== 'cancelled' || this.options.confirmCancellation(storedJob, id);
  }

  /** The job after a new read, which a final state does not need; undefined: never submitted; null: the read failed. */
  private async readCurrent(id: string): Promise<StoredJob | undefined | null> {
    const known = this.replica.jobs.get(id);
    if (known !== undefined && outcome(known) !== 'open' && this.replicaSync.ready) return known;
    if (!(await this.replicaSync.sync())) return null;
    return this.replica.jobs.get(id);
  }

  /** Answers a poll of a job's state; 404: the job was never accepted. */
  async poll(id: string): Promise<Reply> {
    if (!validId(id)) return { status: 404, body: encodeError('no such job') };
    const storedJob = await this.readCurrent(id);
    if (storedJob === null) return RETRY_LATER;
    if (storedJob === undefined) return { status: 404, body: encodeError('no such job') };
    if (!(await this.confirmCancellation(storedJob, id))) return RETRY_LATER;
    const state = this.shownState(storedJob);
    const done = state === 'done' ? storedJob.spec.tasks : storedJob.doneTasks;
    const running =
      state === 'running' ? Math.min(storedJob.claimCount, storedJob.spec.tasks - done) : 0;
    return { status: 200, body: encodeStatus(id, state, done, running) };
  }

  /** Answers a cancellation: 200 once it is stored and confirmed, 503 while that is not certain. */
  async cancel(id: string): Promise<Reply> {
    if (!validId(id)) return { status: 404, body: encodeError('no such job') };
    const storedJob = await this.readCurrent(id);
    if (storedJob === null) return RETRY_LATER;
    if (storedJob === undefined) return { status: 404, body: encodeError('no such job') };
    let state: string | null = outcome(storedJob);
    if (state === 'open') {
      const wait = await this.options.announceCancellation(id);
      if (wait > 0) return { status: 503, retryAfter: wait };
      state = await this.requestWriter.cancel(id, STORE_TIMEOUT_S);
    }
    if (state !== 'done' && state !== 'cancelled') return RETRY_LATER;
    if (!(await this.confirmCancellation(storedJob, id))) return RETRY_LATER;
    return { status: 200, body: encodeAccepted(id, state) };
  }
}
