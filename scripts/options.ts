import { InvalidArgumentError } from 'commander';

/** Parses an option whose value is an integer above 0. Throws InvalidArgumentError. */
export function positive(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('must be above 0.');
  return value;
}
