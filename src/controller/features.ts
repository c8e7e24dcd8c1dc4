/** Constructs the subsystems that a features file enables. */

import type { Clock } from '../clock.js';
import type { Subsystem } from '../subsystems/subsystem.js';
import type { ControllerFeatures } from './controller.js';
import { Lending } from '../lending/lending.js';
import { WarmPools } from '../warm-pools/warm-pools.js';
import { featuresRecord, type Features } from '../features/features-file.js';

/** Returns a controller's features file record and new instances of the subsystems that it enables. */
export function controllerFeatures(features: Features, clock: Clock): ControllerFeatures {
  const subsystems: Subsystem[] = [];
  if (features.warmPools !== null) subsystems.push(new WarmPools(features.warmPools, clock));
  if (features.lending !== null) subsystems.push(new Lending(features.lending));
  return { file: featuresRecord(features), subsystems };
}
