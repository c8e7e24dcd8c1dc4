/** Chunks: the parts of a job's record of done tasks, each of which fits into one stored value. */

/** Bytes of a record in addition to its bits. */
const RECORD_OVERHEAD_BYTES = 64;

/** Tasks in one stored chunk: in base64 and with its overhead, it takes half a value of the key-value store. */
export const tasksPerChunk = (valueBytes: number): number =>
  Math.floor(valueBytes * 0.5 * 0.75) * 8;

/** The maximum size in bytes of the record of a chunk with this number of tasks. */
export const maxChunkRecordBytes = (tasks: number): number =>
  Math.ceil(tasks / 24) * 4 + RECORD_OVERHEAD_BYTES;

/** The number of chunks of a job with this number of tasks. */
export const chunkCount = (tasks: number, perChunk: number): number => Math.ceil(tasks / perChunk);

/** The number of tasks in one chunk: fewer in the last. */
export const chunkSize = (tasks: number, perChunk: number, chunk: number): number =>
  Math.min(perChunk, tasks - chunk * perChunk);
