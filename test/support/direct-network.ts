/** Direct commands on their way to simulated workers: delayed ones, and copies of those that were carried out. */
import type { Command, Heartbeat } from '../../src/wire/workers.js';
import { attemptKey } from '../../src/workers/attempt.js';
import type { Worker } from './simulated-fleet.js';

/** A direct message to a worker. */
export interface DirectMessage {
  worker: Worker;
  token: number;
  agentEpoch: number;
  commands: Command[];
}

/** Carries direct messages to workers. Any copy of a message that was carried out may arrive again at any later time. */
export class DirectNetwork {
  /** Messages that are neither delivered nor answered yet, in the order of sending. */
  readonly delayed: DirectMessage[] = [];
  /** Messages that were carried out, and of which a worker may still carry out a copy. */
  private carriedOut: DirectMessage[] = [];
  /** Starts that copies have caused. */
  readonly startsByCopies: string[] = [];

  /** Delivers a message. Returns the worker's answer; null: it refused the message. */
  deliver(message: DirectMessage): Heartbeat | null {
    const { worker, token, agentEpoch, commands } = message;
    const answer = worker.takeDirect(token, agentEpoch, commands);
    if (answer !== null) this.carriedOut.push(message);
    return answer;
  }

  /** Delivers all delayed messages, in the order of sending. */
  deliverDelayed(): void {
    for (const message of this.delayed.splice(0)) this.deliver(message);
  }

  /** Delivers a copy of each message that was carried out and that `selects` accepts; nobody waits for an answer. */
  deliverCopies(selects: (message: DirectMessage, index: number) => boolean = () => true): void {
    const copies = this.repeatable().filter(selects);
    this.startsByCopies.push(...startsAgain(copies));
    for (const { worker, token, agentEpoch, commands } of copies)
      worker.takeDirect(token, agentEpoch, commands);
  }

  /** Whether a message that was carried out has started a task of the job. */
  hasStarted(job: string): boolean {
    return this.carriedOut.some(({ commands }) =>
      commands.some((command) => command.kind === 'start' && command.job === job),
    );
  }

  /** Starts that a worker would carry out again if a copy of their message arrived now. */
  repeatableStarts(): string[] {
    return startsAgain(this.repeatable());
  }

  /** Carried-out messages that their workers still accept. Tokens and agent epochs only rise, so the rest is dropped. */
  private repeatable(): DirectMessage[] {
    this.carriedOut = this.carriedOut.filter(
      ({ worker, token, agentEpoch }) => token >= worker.token && agentEpoch === worker.agentEpoch,
    );
    return this.carriedOut;
  }
}

/** The starts in these messages that their workers would carry out now. */
const startsAgain = (messages: readonly DirectMessage[]): string[] =>
  messages.flatMap(({ worker, token, commands }) =>
    commands
      .filter(
        ({ kind, job, index, attempt }) =>
          kind === 'start' && !worker.tasks.has(attemptKey(job, index, attempt)),
      )
      .map(
        ({ job, index, attempt }) =>
          `start of ${attemptKey(job, index, attempt)} on ${worker.id}, token ${token}`,
      ),
  );
