import type { Clock } from '../clock.js';
import type { Settings } from '../config/settings.js';
import type { MachineType } from '../jobs/types.js';
import { LiveJob } from '../jobs/live.js';
import type { Log } from '../log.js';
import type { Policy } from '../operator/policy.js';
import { outcome, type JobFacts, type Replica, type StoredMachine } from '../state/replica.js';
import { FetchTimes } from '../scheduler/fetches.js';
import { advance, holds, makeAttempt, mayBeThere, type Attempt } from '../workers/attempt.js';
import { Machine, type Changes } from '../workers/machine.js';
import { MachineHealth } from './machine-health.js';

export interface TermDeps {
  settings: Settings;
  clock: Clock;
  wallMs: () => number;
  log: Log;
  replica: Replica;
  policy: Policy;
  token: number;
  incarnation: string;
  entitled: () => boolean;
  writing: () => boolean;
  /** Until when another controller may have renewed leases because the state service was down. */
  keptUntil: () => number;
  /** Until when a zone's zone keeper may renew leases there, and up to which moment that is certain. */
  zone: (zone: string) => { keptUntil: number; provenAt: number };
  /** Asks for a fresh proof of that. */
  prove: () => void;
}

/**
 * One term of leadership: machines, jobs and what is known of where tasks may be. All changes of
 * jobs and attempts on events go through here; it does no input or output.
 */
export class Term {
  readonly machines = new Map<string, Machine>();
  readonly jobs = new Map<string, LiveJob>();
  readonly dirtyMachines = new Set<string>();
  /** Records of machines that are gone for good. */
  readonly removals = new Map<string, number>();
  /** Machines that the cloud has taken back. Names never recur: what still reports is a late copy. */
  readonly returned = new Set<string>();
  /** Machines with commands that should not wait for the next check-in. */
  readonly urgent = new Set<string>();
  readonly fetches = new FetchTimes();
  /** Machines whose leases were counted as lost. */
  machinesLost = 0;
  private readonly health: MachineHealth;
  readonly startedAt: number;
  /**
   * Revision of the latest commit of this term. Commits are guarded by the leader's key, so it is above
   * the term's token and below that of every later leader: machines may be fenced with it.
   */
  latestRevision: number;
  types = new Map<string, MachineType>();
  /** Set when something happened that placing should look at. */
  stirred = true;
  onStir: () => void = () => undefined;

  constructor(readonly deps: TermDeps) {
    this.startedAt = deps.clock.now();
    this.latestRevision = deps.token;
    this.health = new MachineHealth({
      workers: deps.settings.workers,
      jobs: this.jobs,
      replica: deps.replica,
      clock: deps.clock,
      log: deps.log,
    });
    this.setTypes(deps.replica.types ?? []);
    // In the order of acceptance, as those that come later are: guarantees go by it.
    const open = [...deps.replica.jobs.values()].filter((f) => outcome(f) === 'open');
    open.sort((a, b) => a.acceptedAt - b.acceptedAt);
    for (const facts of open) this.addJob(facts);
    for (const [id, stored] of deps.replica.machines) this.inherit(id, stored);
  }

  /** A machine as the store shows it: whatever its record claims may be there. */
  private inherit(id: string, { record, revision }: StoredMachine): void {
    const { deps, startedAt: now } = this;
    const m = new Machine(id, deps.token, deps.settings.workers.lease_s, now);
    m.addr = record.addr;
    m.type = record.type;
    m.zone = record.zone;
    m.spot = record.spot;
    m.revision = revision;
    m.recordTerm = record.term;
    for (const [image, gb] of record.images) {
      m.images.set(image, { gb, at: now });
      m.fetchedGb += gb;
    }
    // The record says so already: without this no round would ever name it to the cloud again.
    if (record.returning && m.become('returning')) m.returnStored = true;
    for (const c of record.claims) {
      const a = makeAttempt(c.job, c.index, c.attempt, id, 'inherited', now);
      m.claim(a);
      const job = this.jobs.get(c.job);
      if (job !== undefined && !job.done.has(c.index)) job.adopt(a);
      else this.dismiss(a);
    }
    this.machines.set(id, m);
  }

  get now(): number {
    return this.deps.clock.now();
  }

  requestPass(): void {
    this.stirred = true;
    this.onStir();
  }

  setTypes(types: MachineType[]): void {
    this.types = new Map(types.map((t) => [t.name, t]));
  }

  addJob(facts: JobFacts): LiveJob {
    let job = this.jobs.get(facts.spec.id);
    if (job === undefined) {
      const { replica, wallMs } = this.deps;
      job = new LiveJob(facts, replica.chunkTasks, this.now, wallMs());
      this.jobs.set(facts.spec.id, job);
    }
    this.requestPass();
    return job;
  }

  cancelled(facts: JobFacts): void {
    const job = this.jobs.get(facts.spec.id);
    if (job === undefined) return;
    job.cancelled = true;
    this.close(job);
  }

  knownCancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined || job.cancelled) return;
    job.cancelled = true;
    this.close(job);
  }

  /** Nothing of it starts any more; what may be somewhere is told to go. */
  private close(job: LiveJob): void {
    if (job.phase === 'open') job.become('closing');
    for (const list of [...job.live.values()]) {
      for (const a of [...list]) this.stop(a, 0);
    }
    for (const m of this.machines.values()) {
      for (const a of m.attempts.values()) {
        if (a.job === job.spec.id && a.state === 'ended') a.settled = true;
      }
    }
    this.requestPass();
  }

  /** An attempt that serves nothing: stopped at once if it shows up, forgotten when it has ended. */
  private dismiss(a: Attempt): void {
    if (a.state === 'ended') a.settled = true;
    else a.stop ??= { at: this.now, graceS: 0, sentAt: null };
    this.machines.get(a.machine)?.touch();
    this.urgent.add(a.machine);
  }

  graceOf(job: LiveJob): number {
    // A little above the time that saving takes: the worker compares the two.
    return job.spec.checkpointS > 0 ? job.spec.saveS * 1.1 : 0;
  }

  /** Wants an attempt gone. One that was never sent is withdrawn at once. */
  stop(a: Attempt, graceS: number): void {
    if (!holds(a)) return;
    const m = this.machines.get(a.machine);
    if (a.state === 'claimed' && m !== undefined) {
      this.withdraw(m, a);
      return;
    }
    if (a.stop === null || graceS < a.stop.graceS) {
      a.stop = { at: this.now, graceS, sentAt: null };
      m?.touch();
      if (mayBeThere(a)) this.urgent.add(a.machine);
    }
    this.requestPass();
  }

  /** A claim whose start was never sent, or provably not carried out. */
  private withdraw(m: Machine, a: Attempt): void {
    m.withdraw(a, this.now);
    this.dirtyMachines.add(m.id);
    this.jobs.get(a.job)?.release(a);
    this.requestPass();
  }

  /** A gang goes as a whole: every task is told within the same moment. */
  stopGang(job: LiveJob, graceS: number): void {
    for (const list of [...job.live.values()]) for (const a of [...list]) this.stop(a, graceS);
  }

  stopTask(job: LiveJob, a: Attempt): void {
    if (job.gang) this.stopGang(job, this.graceOf(job));
    else this.stop(a, this.graceOf(job));
  }

  /** Without saving: what it did since its last checkpoint is lost. */
  stopTaskNow(job: LiveJob, a: Attempt): void {
    if (job.gang) this.stopGang(job, 0);
    else this.stop(a, 0);
  }

  machine(id: string): Machine {
    let m = this.machines.get(id);
    if (m === undefined) {
      m = new Machine(id, this.deps.token, this.deps.settings.workers.lease_s, this.now);
      // Forgotten, and back before its record was removed: a removal that is tried once more would
      // take away the claims of what is started there from now on.
      m.revision = this.removals.get(id) ?? 0;
      this.removals.delete(id);
      this.machines.set(id, m);
    }
    return m;
  }

  /** Nothing is known of a machine any more; its record goes too. */
  forget(m: Machine): void {
    this.machines.delete(m.id);
    this.dirtyMachines.delete(m.id);
    if (m.state === 'returned') this.returned.add(m.id);
    if (m.revision > 0) this.removals.set(m.id, m.revision);
  }

  /** The record of a forgotten machine was removed, or has now this revision. */
  removed(id: string, revision: number | null): void {
    if (this.machines.has(id)) return;
    if (revision === null) this.removals.delete(id);
    else this.removals.set(id, revision);
  }

  /**
   * Fences machines anew whose direct starts were never answered, once one of those keeps something
   * from being done. The record names the new token before a worker sees it: whoever renews leases in
   * this leader's place must be able to give it.
   */
  fenceUnanswered(): void {
    for (const m of this.machines.values()) {
      if (m.state !== 'ready' || !m.blockedByUnanswered()) continue;
      if (this.latestRevision > m.token) m.nextToken = this.latestRevision;
      this.dirtyMachines.add(m.id);
    }
  }

  /** A later leader's token, as far as can be told: none that this term has given. */
  isLater(token: number): boolean {
    return token > this.latestRevision;
  }

  mayStart(a: Attempt): boolean {
    const job = this.jobs.get(a.job);
    const m = this.machines.get(a.machine);
    if (job === undefined || m === undefined || job.phase !== 'open') return false;
    if (m.state !== 'ready' || m.takenAt !== null) return false;
    if (job.done.has(a.index)) return false;
    if (!job.gang) return true;
    // All of a gang's claims are stored before the first of them starts.
    let n = 0;
    for (const other of job.holding()) {
      if (other.number !== a.number || other.state === 'claiming' || other.stop !== null)
        return false;
      n++;
    }
    return n === job.spec.tasks;
  }

  /** What a report, a lapsed lease or a returned machine has shown. */
  digest(m: Machine, c: Changes): void {
    const now = this.now;
    for (const a of c.foreign) this.foreign(m, a);
    for (const a of [...c.moved, ...c.over]) {
      const type = this.types.get(m.type);
      const job = this.jobs.get(a.job);
      if (job !== undefined && (a.state === 'running' || a.state === 'waiting')) {
        m.sawImage(job.spec.image, job.spec.imageGb, type?.cacheGb ?? 0, now);
      }
    }
    for (const a of c.moved) {
      // Its start provably went nowhere, and it is not wanted any more. Left as it was, it held its room
      // and its task for the rest of the term.
      if (a.state === 'claimed' && a.stop !== null) this.withdraw(m, a);
      if (a.fetchS > 0 && a.sentAt !== null && (a.state === 'running' || a.state === 'waiting')) {
        this.fetches.note(a.fetchS, now - a.sentAt);
        a.fetchS = 0;
      }
      const job = this.jobs.get(a.job);
      if (a.state !== 'running' || job === undefined) continue;
      this.deps.log.debug(
        {
          job: a.job,
          index: a.index,
          class: job.spec.class,
          machine: m.id,
          ageS: now - job.submittedAt,
        },
        'runs',
      );
    }
    for (const a of c.over) this.over(m, a);
    if (c.missed > 0) {
      // Its reports come, but what it is told does not arrive.
      this.health.shun(m, this.deps.settings.workers.report_s * 2);
    }
    if (c.sessionMoved) this.health.shun(m, this.deps.settings.workers.report_s);
    if (m.takenAt !== null) this.drain(m);
    if (c.over.length > 0 || c.moved.length > 0) this.requestPass();
  }

  private foreign(m: Machine, a: Attempt): void {
    const job = this.jobs.get(a.job);
    this.dirtyMachines.add(m.id);
    if (job === undefined || job.phase !== 'open') {
      this.deps.log.info({ machine: m.id, job: a.job, index: a.index }, 'unwanted task found');
      this.dismiss(a);
      return;
    }
    const others = job.gang ? [...job.holding()].length > 0 : job.live.has(a.index);
    if (job.done.has(a.index) || others || a.index >= job.spec.tasks) {
      this.deps.log.info(
        { machine: m.id, job: a.job, index: a.index },
        'second copy of a task found',
      );
      this.dismiss(a);
      return;
    }
    job.adopt(a);
    if (job.gang) this.stopGang(job, 0);
  }

  /** An attempt has exited or is provably gone. */
  private over(m: Machine, a: Attempt): void {
    const now = this.now;
    const job = this.jobs.get(a.job);
    if (job === undefined) {
      a.settled = true;
      return;
    }
    if (a.startedAt !== null) {
      job.attainedS += now - a.startedAt;
      job.noteRun(now - a.startedAt, this.deps.settings.workers.lease_s);
    }
    if (a.state === 'ended' && a.cause === 'done' && !job.cancelled) {
      this.done(m, job, a);
      return;
    }
    a.settled = true;
    job.release(a);
    if (job.phase !== 'open') return;
    if (a.state === 'ended') this.health.taskFailed(m, job, a);
    if (job.gang) {
      // Without one of its tasks a gang is over; those that are saving may finish that.
      for (const other of [...job.holding()]) {
        if (other.number === a.number && other.stop === null) this.stop(other, 0);
      }
    }
  }

  private done(m: Machine, job: LiveJob, a: Attempt): void {
    m.successes++;
    m.errors.clear();
    m.shuns = 0;
    const indexes = job.gang ? [...Array(job.spec.tasks).keys()] : [a.index];
    // A gang completes together: if one task is done, all are.
    for (const i of indexes) job.markDone(i, this.now);
    // Stored already, as for the other tasks of a gang: nothing is written again.
    if (job.storedDone.has(a.index)) a.settled = true;
    else job.awaiting.push(a);
    job.release(a);
    for (const other of [...(job.live.get(a.index) ?? [])]) this.stop(other, 0);
  }

  /** The cloud is about to take the machine: what can be saved is saved now. */
  private drain(m: Machine): void {
    for (const a of [...m.attempts.values()]) {
      const job = this.jobs.get(a.job);
      if (job === undefined || !holds(a) || a.stop !== null) continue;
      this.stopTask(job, a);
    }
  }

  /** Leases that have run out for certain, with nobody else entitled to renew them. */
  expire(): void {
    const now = this.now;
    const kept = this.deps.keptUntil();
    let unproven = false;
    for (const m of this.machines.values()) {
      // While the state service is down others may renew leases in this controller's place.
      if (kept > m.knownAt) m.renewed(kept);
      if (now <= m.leaseEnd || m.state === 'silent' || m.state === 'returned') continue;
      // Its zone may be cut off as a whole and go on working inside itself.
      const z = this.deps.zone(m.zone);
      m.renewed(z.keptUntil);
      if (now <= m.leaseEnd) continue;
      if (z.provenAt < m.leaseEnd) {
        unproven = true;
        continue;
      }
      if (m.state === 'returning') {
        if (m.attempts.size > 0) this.lose(m);
        continue;
      }
      this.deps.log.info({ machine: m.id, attempts: m.attempts.size }, 'machine lost');
      this.machinesLost++;
      this.lose(m);
      m.become('silent');
    }
    if (unproven) this.deps.prove();
  }

  lose(m: Machine): void {
    const over = m.lost(this.now);
    for (const a of over) this.over(m, a);
    this.dirtyMachines.add(m.id);
    this.requestPass();
  }

  /** The claim is stored. */
  stored(a: Attempt): void {
    if (a.state !== 'claiming') return;
    advance(a, 'claimed', this.now);
    const job = this.jobs.get(a.job);
    if (a.stop !== null || job === undefined || job.phase !== 'open') {
      a.stop = null;
      this.stop(a, 0);
      if (job?.gang === true && job.phase === 'open') this.stopGang(job, 0);
      return;
    }
    this.urgent.add(a.machine);
    if (job.gang) for (const other of job.holding()) this.urgent.add(other.machine);
  }

  /** All tasks are done and stored. */
  completed(job: LiveJob): void {
    if (job.phase === 'open') job.become('closing');
  }
}
