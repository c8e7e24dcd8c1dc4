/** What is stored of a machine of a term. */

import type { Settings } from '../../config/settings.js';
import type { MachineRecord } from '../../store/machine-record.js';
import type { Machine } from '../../workers/machine.js';
import type { TermState } from '../term/term-state.js';

/** Images that a machine's record names, at most: those used last. */
const MAX_IMAGES = 32;
/** Of the largest value that the key-value store takes, what a machine's record may fill. */
const RECORD_SHARE = 0.95;

/** The most that a machine's record may take, in bytes. */
export const machineRecordBytes = ({ state }: Pick<Settings, 'state'>): number =>
  Math.floor(state.value_kb * 1024 * RECORD_SHARE);

/** The record as it would be stored now. */
export function machineRecord({ context }: TermState, machine: Machine): MachineRecord {
  const { token } = machine;
  return {
    owner: context.settings.node,
    term: context.token,
    ...(token > context.token ? { token } : {}),
    addr: machine.addr,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    returning: machine.state === 'returning',
    claims: machine
      .claims()
      .map((attempt) => ({ job: attempt.job, index: attempt.index, attempt: attempt.number })),
    images: [...machine.images].slice(-MAX_IMAGES).map(([image, { gb }]) => [image, gb]),
  };
}
