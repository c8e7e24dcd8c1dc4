/** Chunks: the parts of a job's record of done tasks, each of which fits into one stored value. */

/** Tasks in one stored chunk: in base64 and with its frame, half a value of the state service. */
export const chunkTasks = (valueBytes: number): number => Math.floor(valueBytes * 0.5 * 0.75) * 8;

/** Chunks of a job with so many tasks. */
export const chunkCount = (tasks: number, perChunk: number): number => Math.ceil(tasks / perChunk);

/** Tasks in one of them: fewer in the last. */
export const chunkSize = (tasks: number, perChunk: number, chunk: number): number =>
  Math.min(perChunk, tasks - chunk * perChunk);
