import { IllegalTransitionError } from '../illegal-transition.js';
import type { Clock } from '../clock.js';
import { refusedAboveS, REQUEST_CLASSES, type Overload, type RequestClass } from './overload.js';

/**
 * Length of a slice as a share of the workers' lease: a sixth of the time between two renewals of the leader's
 * own lease (see `Election`), so that a renewal is late by a few slices at most. A controller that found
 * hundreds of heartbeats in one turn of the event loop once answered all of them before its timers and the
 * store's answers were processed, and lost its leadership because its lease had not been renewed.
 */
const SLICE_LEASES = 0.01;

/**
 *   idle -> open -> idle
 *           open -> draining -> idle
 *
 * `idle`: no request has arrived in this turn of the event loop. `open`: a slice has begun, and requests are
 * handled as they arrive. `draining`: the slice was used up and requests wait; each turn of the event loop
 * serves one slice of them.
 */
export type QueueState = 'idle' | 'open' | 'draining';

const TRANSITIONS: Record<QueueState, QueueState[]> = {
  idle: ['open'],
  open: ['idle', 'draining'],
  draining: ['idle'],
};

interface WaitingRequest {
  arrivedAt: number;
  /** Seconds after which the sender has timed out. */
  timeoutS: number;
  serve: () => void;
  refuse: () => void;
}

/** Dependencies and limits of a `RequestQueue`. */
export interface RequestQueueOptions {
  clock: Clock;
  leaseS: number;
  /** The maximum number of waiting requests, of all classes. */
  capacity: number;
  overload: Overload;
  /** Runs the callback in the next turn of the event loop, after timers and input. */
  defer?: (callback: () => void) => void;
  onError: (error: unknown) => void;
}

/** A first-in, first-out queue that does not move the remaining items at each removal. */
class FifoQueue {
  private items: WaitingRequest[] = [];
  private headIndex = 0;

  /** The oldest item; undefined: the queue is empty. */
  get head(): WaitingRequest | undefined {
    return this.items[this.headIndex];
  }

  /** The number of waiting items. */
  get length(): number {
    return this.items.length - this.headIndex;
  }

  /** Adds an item at the end. */
  push(item: WaitingRequest): void {
    this.items.push(item);
  }

  /** Removes the oldest item. */
  shift(): void {
    this.headIndex++;
    // Otherwise served requests would stay in memory until the queue is empty, which may not happen under load.
    if (this.headIndex * 2 > this.items.length) {
      this.items = this.items.slice(this.headIndex);
      this.headIndex = 0;
    }
  }
}

/**
 * Serves requests by priority, in slices of time. On a controller that keeps up, each request is handled
 * immediately on arrival. Requests that exceed the slice wait, and between two slices the event loop runs
 * timers and reads input, so that the leader's lease, the store's answers and the other controllers come first.
 *
 * Requests of one class keep their order of arrival, and none overtakes a waiting one: the heartbeats of a
 * machine are never reordered.
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
  /** Requests refused because of load, or dropped, since the start. */
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
    if (!TRANSITIONS[this.state].includes(state))
      throw new IllegalTransitionError('request queue', this.state, state);
    this.state = state;
  }

  /** The number of waiting requests, of all classes. */
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
   * Handles a request now, later, or not at all; the answer is then `refusal`. A request refused because of
   * load is refused on arrival. `timeoutS`: how long the sender waits for the answer; a request that has waited
   * longer is dropped.
   */
  run<T>(
    kind: RequestClass,
    work: () => T | Promise<T>,
    refusal: T,
    timeoutS = Infinity,
  ): T | Promise<T> {
    const now = this.options.clock.now();
    if (this.options.overload.refuses(kind)) return this.refuse(kind, refusal);
    if (this.state === 'idle') this.open(now);
    if (this.state === 'open' && now < this.sliceEnd) return work();
    // A bound for all sources: connections are limited as well, but the link of one peer carries many requests.
    if (this.size >= this.options.capacity) return this.refuse(kind, refusal);
    return new Promise((resolve, reject) => {
      this.waiting[kind].push({
        arrivedAt: now,
        timeoutS,
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

  /** Runs once in each turn of the event loop in which requests wait or the slice is open. */
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
    // At least one, however late it is: otherwise slices on a slow machine might serve no request at all.
    do {
      const request = this.takeNext(now);
      if (request === undefined) return;
      if (now - request.arrivedAt > request.timeoutS) request.refuse();
      else request.serve();
      now = clock.now();
    } while (now < end);
  }

  /**
   * Removes and returns the next request, by class. An admitted request is served in time: one that has waited
   * for as long as makes newer requests of its class be refused goes first; otherwise a steady stream of
   * heartbeats would delay it until its user times out. These are few, since no more requests of its class are
   * admitted meanwhile.
   */
  private takeNext(now: number): WaitingRequest | undefined {
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

  /** Statistics for `/metrics`. */
  statistics(): Record<string, number> {
    const out: Record<string, number> = { requests_waiting: this.size };
    for (const kind of REQUEST_CLASSES) out[`${kind}s_refused`] = this.refused[kind];
    return out;
  }
}
