/** Parameters of a features file with one warm pool and one burst, for complete controllers. */
export interface BurstPool {
  image: string;
  /** Port of all model servers. */
  port: number;
  slots: number;
  /** Start of the burst in ms of the time of day, to the second. */
  burstMs: number;
  holdS: number;
  aheadS: number;
}

/** A features file with one warm pool and one burst. */
export const burstFeatures = ({
  image,
  port,
  slots,
  burstMs,
  holdS,
  aheadS,
}: BurstPool): string => `
[warm_pools]
loader = "model-server"
model_server_port = ${port}
[[warm_pools.pools]]
name = "tutor"
image = "${image}"
image_gb = 1.0
cores = 4.0
gpus = 4.0
mem_gb = 8.0
slots = ${slots}
schedule = "${new Date(burstMs).toISOString().slice(0, 19)}"
time_zone = "UTC"
hold_s = ${holdS}
ahead_s = ${aheadS}
team = "t"
`;
