/** A service of 3,000 small replicas: the leader rents as if one machine could hold them all. */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { now, sleep } from '../stand-ins-2/base.mjs';
import { runCase } from '../stand-ins-2/cluster.mjs';

const PIECES = 3_000;
const FEW_PIECES = 400;
const WATCH_S = 105;
/** Nothing may have moved for so long: several boots of 2 s, and twice the longest usual boot of the type. */
const STILL_S = 75;

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (cluster, trouble) => {
  const { fleet, record } = cluster;
  const pieces = trouble ? PIECES : FEW_PIECES;
  const service = cluster.job('wk-000001', {
    ...{ form: 'daemon', rank: 'critical', guild: 'hint-bot', mould: 'hint-1', image_gb: 1 },
    ...{ pieces, cores: 0.01, gpus: 0, mem_gb: 0.1 },
  });
  await cluster.submitUntilAccepted(0, service);
  const end = now() + WATCH_S;
  let running = 0;
  let changedAt = now();
  while (now() < end) {
    await sleep(0.5);
    const onMachines = fleet.tasksOf('wk-000001');
    if (onMachines !== running) changedAt = now();
    running = onMachines;
    if (Math.round(now() * 2) % 20 === 0) {
      await cluster.poll(0, 'wk-000001');
      record.add('service', { running, machines: fleet.workers.size, rented: fleet.rented });
    }
  }
  const stillS = now() - changedAt;
  record.add('end', {
    running,
    pieces,
    stillS,
    machines: fleet.workers.size,
    refused: fleet.refused,
  });
  return running < pieces && stillS > STILL_S && fleet.refused === 0
    ? [
        `${pieces - running} of ${pieces} replicas never started; nothing moved for ${stillS.toFixed(0)} s`,
      ]
    : [];
});
