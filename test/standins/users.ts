import { until, type Ports } from '../helpers.js';
import type { Json } from './http.js';
import type { RequestKind, RuleChecker, Submission } from './rules.js';

/** How long a user waits for an answer. */
const ANSWER_TIMEOUT_MS = 5000;

/** The answer to a user's request. */
export interface Reply {
  /** 0: no answer. */
  status: number;
  /** The job's state; empty if the answer has none. */
  state: string;
}

/** A submission as encoded on the wire. */
export function submission(ref: string, over: Partial<Submission> = {}): Submission {
  return {
    ref, guild: 'c', crew: 't', form: 'batch', rank: 'standard', pieces: 1, cores: 1, gpus: 1,
    mem_gb: 1, mould: 'i', image_gb: 1, castings: null, yard: null, one_zone: over.form === 'group',
    scatter: false, loaner: false, reckon_s: 1, stamp_s: 0, stamping_s: 0, due_s: null, ...over,
  }; // prettier-ignore
}

/** Sends the requests of users and passes every answer to the rule checker. */
export class Users {
  constructor(
    private readonly ports: Ports[],
    private readonly rules: RuleChecker,
  ) {}

  /** Sends any request to a controller. */
  async request(at: number, method: string, path: string, body?: Json): Promise<Reply> {
    const asked = this.requestKindOf(method, path, body);
    const before = this.rules.reportedState(asked?.ref ?? '');
    const reply = await this.send(at, method, path, body);
    if (asked !== null) {
      this.rules.checkAnswer(asked.question, asked.ref, before, reply.status, reply.state);
    }
    return reply;
  }

  private requestKindOf(
    method: string,
    path: string,
    body?: Json,
  ): { question: RequestKind; ref: string } | null {
    const [, root, ref, action] = path.split('/');
    if (root !== 'submissions') return null;
    if (ref === undefined) {
      return body?.ref === undefined ? null : { question: 'submit', ref: body.ref as string };
    }
    if (action === undefined) return { question: 'poll', ref };
    const job = this.rules.jobs.get(ref);
    if (job !== undefined) job.cancelAsked = true;
    return { question: 'cancel', ref };
  }

  private async send(at: number, method: string, path: string, body?: Json): Promise<Reply> {
    try {
      const response = await fetch(`http://127.0.0.1:${this.ports[at]!.bind}${path}`, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const answer = (await response.json().catch(() => ({}))) as Json;
      return { status: response.status, state: String(answer.temper ?? '') };
    } catch {
      return { status: 0, state: '' };
    }
  }

  /** Submits once, without a retry. Workers know the job from the first attempt on. */
  submitOnce(at: number, wanted: Submission, runS = 0.3): Promise<Reply> {
    if (!this.rules.jobs.has(wanted.ref)) {
      this.rules.jobs.set(wanted.ref, {
        submission: wanted, runS, accepted: false, final: null, cancelAsked: false,
        cancelledAt: null, completed: new Set(),
      }); // prettier-ignore
    }
    return this.request(at, 'POST', '/submissions', wanted);
  }

  /** Submits a job until it is accepted; each of its tasks takes `runS` seconds. */
  async submit(at: number, ref: string, over: Partial<Submission> = {}, runS = 0.3): Promise<void> {
    const wanted = submission(ref, over);
    await until(`${ref} is accepted`, async () => {
      const { status } = await this.submitOnce(at, wanted, runS);
      return status === 200 || status === 201;
    });
  }

  /** Requests the state of a job once. */
  poll(at: number, ref: string): Promise<Reply> {
    return this.request(at, 'GET', `/submissions/${ref}`);
  }

  /** Cancels a job once, without a retry. */
  cancelOnce(at: number, ref: string): Promise<Reply> {
    return this.request(at, 'POST', `/submissions/${ref}/withdraw`, {});
  }

  /** Cancels a job until the cancellation is confirmed. */
  async cancel(at: number, ref: string): Promise<void> {
    await until(
      `the cancellation of ${ref} is confirmed`,
      async () => (await this.cancelOnce(at, ref)).state === 'cancelled',
    );
  }

  /** Waits until a controller answers with this state of a job. */
  async waitForState(at: number, ref: string, state: string): Promise<void> {
    await until(`${ref} is ${state}`, async () => (await this.poll(at, ref)).state === state);
  }
}
