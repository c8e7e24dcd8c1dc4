/** Builds the body of `/metrics`. Operators' scripts rely on the keys, so they must not change. */

import type { RequestQueue } from '../admission/request-queue.js';
import type { CancellationBroadcast } from '../cancellation/cancellation-broadcast.js';
import type { HttpServer } from '../http/server.js';
import type { LatencyHistograms } from '../latency-histograms.js';
import type { Leader } from '../leader/leader.js';
import { ROLE_IN_METRICS } from '../leadership/election-role.js';
import type { Election } from '../leadership/election.js';
import type { Replica } from '../store/replica.js';
import type { ControllerVersions } from './controller-versions.js';
import { pipelineStatistics } from './pipeline-statistics.js';

const BYTES_PER_MB = 1e6;

/** The parts of a controller whose values are shown. */
export interface MetricsSources {
  node: string;
  election: Pick<Election, 'role' | 'token'>;
  replica: Replica;
  versions: ControllerVersions;
  server: Pick<HttpServer, 'connections'>;
  cancellations: Pick<CancellationBroadcast, 'size'>;
  latencies: LatencyHistograms;
  requests: RequestQueue;
  /** Null: this controller is not the leader. */
  leader: Leader | null;
}

/** The present values of a controller's metrics, with the keys of `/metrics`. */
export function controllerMetrics(sources: MetricsSources): Record<string, unknown> {
  const { node, election, replica, versions, server, cancellations, latencies } = sources;
  return {
    node,
    role: ROLE_IN_METRICS[election.role],
    token: election.token,
    leader: replica.leader?.node ?? null,
    revision: replica.applied,
    jobs: replica.jobs.size,
    ...pipelineStatistics(replica),
    pipelines_known: versions.allSupport('pipelines'),
    features_differ: versions.withDifferentFeatures().join(' '),
    connections: server.connections,
    garbage: replica.malformedRecords,
    cancellations_heard: cancellations.size,
    memory_mb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
    heap_mb: Math.round(process.memoryUsage().heapTotal / BYTES_PER_MB),
    ...sources.leader?.statistics(),
    ...latencies.statistics(),
    ...sources.requests.statistics(),
  };
}
