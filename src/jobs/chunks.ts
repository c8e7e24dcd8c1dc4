/** Chunks: the parts of a job's record of done tasks, each of which fits into one stored value. */

/** What a record takes beside its bits. */
const FRAME_BYTES = 64;

/** Tasks in one stored chunk: in base64 and with its frame, half a value of the key-value store. */
export const chunkTasks = (valueBytes: number): number => Math.floor(valueBytes * 0.5 * 0.75) * 8;

/** Bytes of the record of a chunk with so many tasks, at most. */
export const chunkBytes = (tasks: number): number => Math.ceil(tasks / 24) * 4 + FRAME_BYTES;

/** Chunks of a job with so many tasks. */
export const chunkCount = (tasks: number, perChunk: number): number => Math.ceil(tasks / perChunk);

/** Tasks in one of them: fewer in the last. */
export const chunkSize = (tasks: number, perChunk: number, chunk: number): number =>
  Math.min(perChunk, tasks - chunk * perChunk);
