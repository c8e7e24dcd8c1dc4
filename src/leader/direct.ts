import { endpoint } from '../config/endpoint.js';
import { HttpClient, NoResponse } from '../http/client.js';
import { encodeDirectCommands, parseHeartbeat } from '../wire/workers.js';
import type { Machine } from '../workers/machine.js';
import type { Term } from './term.js';

/**
 * Of the sockets, those for direct commands. A connection to every machine, beside one from each, is more
 * than a large fleet's leader has: the ones not used for longest go.
 */
const SOCKETS_SHARE = 0.25;
/** Direct messages wait for an answer for so many report intervals. */
const ANSWER_REPORTS = 1.5;

interface Channel {
  client: HttpClient;
  addr: string;
  busy: boolean;
}

/** Commands sent straight to workers, when they should not wait for the next check-in. */
export class DirectCommands {
  private readonly channels = new Map<string, Channel>();
  private stopped = false;

  constructor(
    private readonly term: Term,
    private readonly again: () => void,
  ) {}

  push(): void {
    const { term } = this;
    for (const id of [...term.urgent]) {
      const m = term.machines.get(id);
      if (m === undefined || m.state === 'silent' || m.state === 'unheard') {
        term.urgent.delete(id);
        continue;
      }
      if (m.state === 'fencing') continue;
      void this.tell(m);
    }
  }

  /** Null: all are busy, and what there is to say waits for the machine's next check-in. */
  private channel(m: Machine): Channel | null {
    const known = this.channels.get(m.id);
    this.channels.delete(m.id);
    if (known?.addr === m.addr) {
      this.channels.set(m.id, known);
      return known;
    }
    known?.client.close();
    if (this.channels.size >= this.term.deps.settings.limits.sockets * SOCKETS_SHARE) {
      const idle = [...this.channels].find(([, c]) => !c.busy);
      if (idle === undefined) return null;
      this.forget(idle[0]);
    }
    const made = { client: new HttpClient(endpoint(m.addr), 1, 4), addr: m.addr, busy: false };
    this.channels.set(m.id, made);
    return made;
  }

  private async tell(m: Machine): Promise<void> {
    const { term } = this;
    const { deps } = term;
    const d = this.channel(m);
    if (d === null || d.busy) return;
    const commands = m.dueCommands(term.now, (a) => term.mayStart(a), false);
    term.urgent.delete(m.id);
    if (commands.every((c) => c.kind === 'forget')) return;
    const { agentEpoch, token } = m;
    m.markSent(commands, 'direct', term.now);
    d.busy = true;
    const timeout = deps.settings.workers.report_s * ANSWER_REPORTS;
    try {
      const body = encodeDirectCommands(token, agentEpoch, commands);
      const r = await d.client.request('POST', '/do', body, timeout);
      if (this.stopped) return;
      const how = r.status === 200 ? 'done' : 'refused';
      m.directCommandsEnded(commands, how, agentEpoch, term.now, token);
      if (r.status === 200 || r.status === 409) {
        const report = parseHeartbeat(JSON.parse(r.body.toString('utf8')));
        if (report.machine === m.id) term.digest(m, m.applyHeartbeat(report, false, term.now));
      }
    } catch (e) {
      if (this.stopped) return;
      const never = e instanceof NoResponse && !e.sent;
      m.directCommandsEnded(commands, never ? 'refused' : 'unknown', agentEpoch, term.now, token);
      deps.log.debug({ machine: m.id, err: String(e) }, 'direct commands not answered');
    } finally {
      d.busy = false;
    }
    if (term.urgent.has(m.id)) this.again();
  }

  forget(id: string): void {
    this.channels.get(id)?.client.close();
    this.channels.delete(id);
  }

  stop(): void {
    this.stopped = true;
    for (const c of this.channels.values()) c.client.close();
    this.channels.clear();
  }
}
