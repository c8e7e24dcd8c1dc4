/** Divides the progress of a term's jobs into records. */

import type { ProgressLayout } from '../../jobs/progress.js';
import { maxChunkRecordBytes, tasksPerChunk } from '../../jobs/chunks.js';
import type { TermState } from '../term/term-state.js';

/** The progress layout of a job with this number of tasks. */
export function progressLayout(
  { context }: Pick<TermState, 'context'>,
  tasks: number,
): ProgressLayout {
  const { replica, settings, allReadDenseRecords } = context;
  const maxBytes = settings.state.value_kb * 1024;
  const chunk = Math.min(tasks, replica.tasksPerChunk);
  if (maxChunkRecordBytes(chunk) <= maxBytes || !allReadDenseRecords()) {
    return { kind: 'chunks', tasksPerUnit: replica.tasksPerChunk };
  }
  return { kind: 'parts', tasksPerUnit: tasksPerChunk(maxBytes) };
}

/** Switches jobs whose chunks are too large to parts once every controller can read these. */
export function splitOversizedProgress(term: TermState): void {
  for (const job of term.jobs.values()) {
    const { layout } = job.progress;
    if (layout.kind === 'parts') continue;
    const wanted = progressLayout(term, job.spec.tasks);
    if (wanted.kind === 'parts') job.progress.changeLayout(wanted);
  }
}
