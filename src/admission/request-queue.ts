import { IllegalTransitionError } from '../illegal-transition.js';
import type { Clock } from '../clock.js';
import { refusedAboveS, REQUEST_CLASSES, type Overload, type RequestClass } from './overload.js';

/**
 * A slice's share of the workers' lease: a sixth of the time between two renewals of the leader's own
 * lease (see `Election`), so that a renewal is late by a few slices at most. A controller that found
 * hundreds of heartbeats in one turn of the event loop once answered them all before its timers and the
 * store's answers had their turn, and lost its leadership to a lease that it had not renewed.
 */
const SLICE_LEASES = 0.01;

/**
 *   idle -> open -> idle
 *           open -> draining -> idle
 *
 * `idle`: nothing has come in this turn of the event loop. `open`: a slice has begun, requests are
 * handled as they come. `draining`: the slice was used up and requests wait; each turn of the event
 * loop serves a slice of them.
 */
export type QueueState = 'idle' | 'open' | 'draining';

const ALLOWED: Record<QueueState, QueueState[]> = {
  idle: ['open'],
  open: ['idle', 'draining'],
  draining: ['idle'],
};

interface WaitingRequest {
  arrivedAt: number;
  /** Seconds after which whoever asked has given up. */
  patienceS: number;
  serve: () => void;
  refuse: () => void;
}

/** What a `RequestQueue` works with. */
export interface RequestQueueOptions {
  clock: Clock;
  leaseS: number;
  /** Requests that may wait, of all classes. */
  capacity: number;
  overload: Overload;
  /** Calls back in the next turn of the event loop, after timers and input. */
  defer?: (callback: () => void) => void;
  onError: (error: unknown) => void;
}

/** First in, first out, without moving what is behind. */
class FifoQueue {
  private items: WaitingRequest[] = [];
  private first = 0;

  /** The oldest item; undefined: it is empty. */
  get head(): WaitingRequest | undefined {
    return this.items[this.first];
  }

  /** Items that wait. */
  get length(): number {
    return this.items.length - this.first;
  }

  /** Adds an item at the end. */
  push(item: WaitingRequest): void {
    this.items.push(item);
  }

  /** Removes the oldest item. */
  shift(): void {
    this.first++;
    // Served requests would be held in memory until the queue runs empty, which under load it may not.
    if (this.first * 2 > this.items.length) {
      this.items = this.items.slice(this.first);
      this.first = 0;
    }
  }
}

/**
 * Requests by priority, in slices of time. On a controller that keeps up each is handled at once, when
 * it arrives. What the slice leaves over waits, and between two slices the event loop runs timers and
 * reads input: the leader's lease, the store's answers and the other controllers come first.
 *
 * Requests of one class keep the order in which they came, and none overtakes one that waits: a
 * machine's heartbeats are never reordered.
 */
export class RequestQueue {
  private state: QueueState = 'idle';
  private sliceEnd = -Infinity;
  private readonly waiting: Record<RequestClass, FifoQueue> = {
    report: new FifoQueue(),
    cancellation: new FifoQueue(),
    poll: new FifoQueue(),
    submission: new FifoQueue(),
  };
  /** Refused for the load, or dropped, since the start. */
  readonly refused: Record<RequestClass, number> = {
    report: 0,
    cancellation: 0,
    poll: 0,
    submission: 0,
  };
  private readonly sliceS: number;
  private readonly defer: (callback: () => void) => void;

  constructor(private readonly options: RequestQueueOptions) {
    this.sliceS = options.leaseS * SLICE_LEASES;
    this.defer = options.defer ?? ((callback) => void setImmediate(callback));
    options.overload.oldestWaitS = () => this.oldestWaitS();
  }

  private changeState(state: QueueState): void {
    if (!ALLOWED[this.state].includes(state))
      throw new IllegalTransitionError('request queue', this.state, state);
    this.state = state;
  }

  /** Requests that wait, of all classes. */
  get size(): number {
    return REQUEST_CLASSES.reduce((n, kind) => n + this.waiting[kind].length, 0);
  }

  private oldestWaitS(): number {
    if (this.state !== 'draining') return 0;
    const now = this.options.clock.now();
    const heads = REQUEST_CLASSES.map((kind) => this.waiting[kind].head?.arrivedAt ?? now);
    return now - Math.min(...heads);
  }

  /**
   * Handles a request now, later, or not at all: `refusal` is the answer then. A request that is refused
   * for the load is refused when it arrives. `patienceS`: how long whoever asked waits for the answer;
   * what has waited longer is not worth the work any more.
   */
  run<T>(
    kind: RequestClass,
    work: () => T | Promise<T>,
    refusal: T,
    patienceS = Infinity,
  ): T | Promise<T> {
    const now = this.options.clock.now();
    if (this.options.overload.refuses(kind)) return this.refuse(kind, refusal);
    if (this.state === 'idle') this.open(now);
    if (this.state === 'open' && now < this.sliceEnd) return work();
    // Bounded, whatever comes: connections are as well, but one peer's link carries many requests.
    if (this.size >= this.options.capacity) return this.refuse(kind, refusal);
    return new Promise((resolve, reject) => {
      this.waiting[kind].push({
        arrivedAt: now,
        patienceS,
        serve: () => {
          try {
            resolve(work());
          } catch (error) {
            reject(error);
          }
        },
        refuse: () => resolve(this.refuse(kind, refusal)),
      });
      if (this.state === 'open') this.changeState('draining');
    });
  }

  private refuse<T>(kind: RequestClass, refusal: T): T {
    this.refused[kind]++;
    return refusal;
  }

  private open(now: number): void {
    this.changeState('open');
    this.sliceEnd = now + this.sliceS;
    this.defer(() => this.runTurn());
  }

  /** Once in each turn of the event loop in which there is something to do. */
  private runTurn(): void {
    try {
      if (this.state === 'draining') this.runSlice();
    } catch (error) {
      this.options.onError(error);
    }
    if (this.size === 0) this.changeState('idle');
    else this.defer(() => this.runTurn());
  }

  private runSlice(): void {
    const { clock } = this.options;
    const end = clock.now() + this.sliceS;
    let now = clock.now();
    // At least one, however late it is: otherwise a slow clock would stop everything.
    do {
      const next = this.next(now);
      if (next === undefined) return;
      if (now - next.arrivedAt > next.patienceS) next.refuse();
      else next.serve();
      now = clock.now();
    } while (now < end);
  }

  /**
   * By class. But what was let in is served in time: a user's request that has waited for as long as
   * makes newer ones of its class be refused goes first, or a steady stream of heartbeats would hold it
   * back until its user gives up. No more of its class are let in meanwhile, so these are few.
   */
  private next(now: number): WaitingRequest | undefined {
    const queues = REQUEST_CLASSES.map((kind) => ({ kind, queue: this.waiting[kind] }));
    const due = queues.find(
      ({ kind, queue }) =>
        queue.head !== undefined && now - queue.head.arrivedAt > refusedAboveS(kind),
    );
    const queue = (due ?? queues.find((q) => q.queue.head !== undefined))?.queue;
    const head = queue?.head;
    queue?.shift();
    return head;
  }

  /** Figures for `/metrics`. */
  statistics(): Record<string, number> {
    const out: Record<string, number> = { requests_waiting: this.size };
    for (const kind of REQUEST_CLASSES) out[`${kind}s_refused`] = this.refused[kind];
    return out;
  }
}
