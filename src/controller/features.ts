/** The subsystems that a features file switches on, made. */

import type { Clock } from '../clock.js';
import type { ControllerFeatures } from './controller.js';
import { WarmPools } from '../warm-pools/warm-pools.js';
import { featuresRecord, type Features } from '../features/features-file.js';

export function controllerFeatures(features: Features, clock: Clock): ControllerFeatures {
  const subsystems = [];
  if (features.warmPools !== null) subsystems.push(new WarmPools(features.warmPools, clock));
  return { file: featuresRecord(features), subsystems };
}
