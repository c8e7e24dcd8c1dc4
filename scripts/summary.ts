/** Least, median and greatest of a list of figures. */
export interface Summary {
  least: number;
  median: number;
  greatest: number;
}

/** Summarizes figures, of which there must be at least one. The median of an even number is the mean of the middle two. */
export function summary(figures: number[]): Summary {
  const sorted = [...figures].sort((a, b) => a - b);
  const middle = (sorted.length - 1) / 2;
  const median = (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
  return { least: sorted[0]!, median, greatest: sorted.at(-1)! };
}
