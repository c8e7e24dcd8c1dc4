/** The loans of a term: what the store holds of them, and the changes on their way into it. */

import type { OwnedRecord, OwnedWrite } from '../subsystems/subsystem.js';
import { RecordTable, type RecordForm, type TableEntry } from '../subsystems/record-table.js';
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

/** A loan as it is, and as the store holds it. */
export type LoanEntry = TableEntry<Loan>;

const LOAN_FORM: RecordForm<Loan> = {
  prefix: LOAN_PREFIX,
  idOf: loanId,
  encode: encodeLoan,
  decode: decodeLoan,
};

const NO_LOANS: readonly LoanEntry[] = [];

const isRequested = ({ current }: LoanEntry): boolean => current.state === 'requested';

/** What a `LoanTable` works with. */
export interface LoanTableOptions {
  /** Time of day in ms. */
  nowMs: () => number;
  /** The store holds a loan's latest change. */
  onStored: (entry: LoanEntry) => void;
  /** A loan has changed; `before`: as it was, null for a new one. */
  onChange: (loan: Loan, before: Loan | null) => void;
  /** A loan was never stored, or its record is removed. */
  onRemoved: (id: string) => void;
}

/** Loans by name, and what is derived of all of them. */
export class LoanTable {
  private readonly table: RecordTable<Loan>;
  /** Loans by lender; null: to be derived anew. Victims are weighed many times between two changes. */
  private byLender: Map<string, LoanEntry[]> | null = null;

  constructor(private readonly options: LoanTableOptions) {
    this.table = new RecordTable(LOAN_FORM, {
      isUrgent: isRequested,
      onStored: options.onStored,
      onChange: () => (this.byLender = null),
    });
  }

  /** See `RecordTable.reconcile`. */
  reconcile(records: ReadonlyMap<string, OwnedRecord>): void {
    this.table.reconcile(records);
  }

  /** The loan of this name. */
  get(id: string): LoanEntry | undefined {
    return this.table.get(id);
  }

  /** All loans, also those that are over. */
  values(): IterableIterator<LoanEntry> {
    return this.table.values();
  }

  /** Loans of which something is still owed. */
  *open(): IterableIterator<LoanEntry> {
    for (const entry of this.table.values()) if (isOpen(entry.current)) yield entry;
  }

  /** A new loan; it is stored later. */
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

  /** A loan that was never stored, as far as is known. If it is after all, `reconcile` finds it. */
  dropUnstored(entry: LoanEntry): void {
    this.table.removed(entry.id);
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

  /** The open loan of one of a job's tasks; of a gang, whichever task is asked for. */
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

  /** When a job lent last, in ms of the time of day; null: never, as far as is stored. */
  lastGrantedAtMs(lender: string): number | null {
    let latest: number | null = null;
    for (const { current } of this.loansOf(lender)) {
      if (current.state === 'cancelled') continue;
      latest = Math.max(latest ?? 0, current.grantedMs);
    }
    return latest;
  }

  /** Removes what has been over for so long. */
  removeEnded(retentionMs: number): void {
    const nowMs = this.options.nowMs();
    for (const entry of this.table.values()) {
      const { current } = entry;
      if (isOpen(current) || nowMs - current.changedMs <= retentionMs) continue;
      this.table.scheduleRemoval(entry);
      this.options.onRemoved(entry.id);
    }
  }

  /** Grants go with the leader's most urgent writes: the borrower waits for them. */
  dueWrites(): OwnedWrite[] {
    return this.table.dueWrites().map((write) => {
      const entry = this.table.get(write.key.slice(LOAN_PREFIX.length));
      const urgent = entry !== undefined && !this.table.isStored(entry) && isRequested(entry);
      return urgent ? { ...write, urgent } : write;
    });
  }
}
