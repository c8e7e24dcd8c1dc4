/** How the progress of a term's jobs is divided into records. */

import type { ProgressLayout } from '../../jobs/progress.js';
import { chunkBytes, chunkTasks } from '../../jobs/chunks.js';
import type { TermState } from '../term/term-state.js';

/** The layout for a job with so many tasks. */
export function progressLayout(
  { context }: Pick<TermState, 'context'>,
  tasks: number,
): ProgressLayout {
  const { replica, settings, allReadDenseRecords } = context;
  const mostBytes = settings.state.value_kb * 1024;
  const chunk = Math.min(tasks, replica.chunkTasks);
  if (chunkBytes(chunk) <= mostBytes || !allReadDenseRecords()) {
    return { kind: 'chunks', tasksEach: replica.chunkTasks };
  }
  return { kind: 'parts', tasksEach: chunkTasks(mostBytes) };
}

/** Jobs whose chunks are too large are written in parts as soon as every controller reads them. */
export function splitOversizedProgress(term: TermState): void {
  for (const job of term.jobs.values()) {
    const { layout } = job.progress;
    if (layout.kind === 'parts') continue;
    const wanted = progressLayout(term, job.spec.tasks);
    if (wanted.kind === 'parts') job.progress.changeLayout(wanted);
  }
}
