/** Least, median and greatest of some figures. */
export interface Summary {
  least: number;
  median: number;
  greatest: number;
}

/** Of an even number of figures the median is the mean of the middle two. `figures` is not empty. */
export function summary(figures: number[]): Summary {
  const sorted = [...figures].sort((a, b) => a - b);
  const middle = (sorted.length - 1) / 2;
  const median = (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
  return { least: sorted[0]!, median, greatest: sorted.at(-1)! };
}
