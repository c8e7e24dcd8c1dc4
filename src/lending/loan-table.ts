/** The loans of a term: their stored values, and the changes that are still to be stored. */

import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import { RecordTable, type RecordCodec, type TableEntry } from '../subsystems/record-table.js';
import {
  advanceLoan,
  decodeLoan,
  encodeLoan,
  holdsGpus,
  isOpen,
  LOAN_PREFIX,
  loanId,
  type Loan,
  type LoanEvent,
} from './loan.js';

/** The current and the stored value of a loan. */
export type LoanEntry = TableEntry<Loan>;

const LOAN_CODEC: RecordCodec<Loan> = {
  prefix: LOAN_PREFIX,
  idOf: loanId,
  encode: encodeLoan,
  decode: decodeLoan,
};

const NO_LOANS: readonly LoanEntry[] = [];

const isRequested = ({ current }: LoanEntry): boolean => current.state === 'requested';

/** What a `LoanTable` depends on. */
export interface LoanTableOptions {
  /** Time of day in ms. */
  nowMs: () => number;
  /** Called when a loan's latest change is stored. */
  onStored: (entry: LoanEntry) => void;
  /** Called when a loan has changed; `before`: its previous value, null for a new loan. */
  onChange: (loan: Loan, before: Loan | null) => void;
  /** Called when a loan is dropped that was never stored, or its record is to be removed. */
  onRemoved: (id: string) => void;
}

/** Loans by id, and what is derived from them. */
export class LoanTable {
  private readonly table: RecordTable<Loan>;
  /** Loans by lender, cached because victims are assessed many times between two changes; null: to be rebuilt. */
  private byLender: Map<string, LoanEntry[]> | null = null;

  constructor(private readonly options: LoanTableOptions) {
    this.table = new RecordTable(LOAN_CODEC, {
      isUrgent: isRequested,
      onStored: options.onStored,
      onChange: () => (this.byLender = null),
    });
  }

  /** See `RecordTable.reconcile`. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    this.table.reconcile(records);
  }

  /** The loan with this id. */
  get(id: string): LoanEntry | undefined {
    return this.table.get(id);
  }

  /** All loans, including ended ones. */
  values(): IterableIterator<LoanEntry> {
    return this.table.values();
  }

  /** Loans that have not ended. */
  *open(): IterableIterator<LoanEntry> {
    for (const entry of this.table.values()) if (isOpen(entry.current)) yield entry;
  }

  /** Adds a loan; it is stored later. */
  add(loan: Loan): LoanEntry {
    const entry = this.table.add(loan);
    this.options.onChange(loan, null);
    return entry;
  }

  /** Changes a loan; the change is stored later. Throws IllegalTransitionError. */
  apply(entry: LoanEntry, event: LoanEvent): void {
    const before = entry.current;
    const loan = advanceLoan(before, event, this.options.nowMs());
    this.table.change(entry, loan);
    if (event.kind !== 'borrower-seen') this.options.onChange(loan, before);
  }

  /** Drops a loan that is not known to be stored. If it has been stored after all, `reconcile` adds it again. */
  dropUnstored(entry: LoanEntry): void {
    this.table.deleteEntry(entry.id);
    this.options.onRemoved(entry.id);
  }

  /** Whether the store holds the loan's latest change. */
  isStored(entry: LoanEntry): boolean {
    return this.table.isStored(entry);
  }

  /** GPUs of a machine that open loans name. */
  lentGpus(machine: string): number {
    let gpus = 0;
    for (const { current } of this.table.values()) {
      if (current.machine === machine && holdsGpus(current)) gpus += current.gpus;
    }
    return gpus;
  }

  /** The open loan that names this task of a job; the loan of a gang names all of its tasks. */
  openLoanOf(lender: string, index: number): LoanEntry | undefined {
    return this.loansOf(lender).find(
      ({ current }) => isOpen(current) && current.tasks.some((task) => task.index === index),
    );
  }

  private loansOf(lender: string): readonly LoanEntry[] {
    if (this.byLender === null) {
      this.byLender = new Map();
      for (const entry of this.table.values()) {
        const entries = this.byLender.get(entry.current.lender);
        if (entries === undefined) this.byLender.set(entry.current.lender, [entry]);
        else entries.push(entry);
      }
    }
    return this.byLender.get(lender) ?? NO_LOANS;
  }

  /** When a job's latest loan was granted, in ms of the time of day, cancelled loans aside; null: none is known. */
  lastGrantedAtMs(lender: string): number | null {
    let latest: number | null = null;
    for (const { current } of this.loansOf(lender)) {
      if (current.state === 'cancelled') continue;
      latest = Math.max(latest ?? 0, current.grantedMs);
    }
    return latest;
  }

  /** Removes loans that ended longer than `retentionMs` ago. */
  removeEnded(retentionMs: number): void {
    const nowMs = this.options.nowMs();
    for (const entry of this.table.values()) {
      const { current } = entry;
      if (isOpen(current) || nowMs - current.changedMs <= retentionMs) continue;
      this.table.scheduleRemoval(entry);
      this.options.onRemoved(entry.id);
    }
  }

  /** Grants are stored with the leader's most urgent writes, because the borrower waits for them. */
  dueWrites(): OwnedWrite[] {
    return this.table.dueWrites().map((write) => {
      const entry = this.table.get(write.key.slice(LOAN_PREFIX.length));
      const urgent = entry !== undefined && !this.table.isStored(entry) && isRequested(entry);
      return urgent ? { ...write, urgent } : write;
    });
  }
}
