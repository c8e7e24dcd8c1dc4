/** The stored record of a machine. */

import type { Settings } from '../../config/settings.js';
import type { MachineRecord } from '../../store/machine-record.js';
import type { Machine } from '../../workers/machine.js';
import type { TermState } from '../term/term-state.js';

/** Most images in a machine's record: the most recently used ones. */
const MAX_IMAGES = 32;
/** Share of the key-value store's largest value that a machine's record may fill. */
const MAX_RECORD_SHARE = 0.95;

/** Largest size of a machine's record, in bytes. */
export const maxMachineRecordBytes = ({ state }: Pick<Settings, 'state'>): number =>
  Math.floor(state.value_kb * 1024 * MAX_RECORD_SHARE);

/** The record of a machine in its present state. */
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
