import { DEFAULT_POLICY, type Policy } from './policy.js';

/** The operators' factors, or what is wrong with their script. */
export async function readPolicy(
  file: string | undefined,
): Promise<{ policy: Policy; wrong: string | null }> {
  if (file === undefined) return { policy: DEFAULT_POLICY, wrong: null };
  const { loadScript, ScriptError } = await import('./script.js');
  try {
    return { policy: loadScript(file), wrong: null };
  } catch (error) {
    if (!(error instanceof ScriptError)) throw error;
    return { policy: DEFAULT_POLICY, wrong: `operator script ${file}: ${error.message}` };
  }
}
