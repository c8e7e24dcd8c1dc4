import { DEFAULT_POLICY, type Policy } from './policy.js';

/** Reads the policy from the operator script; `problem`: why the script is invalid, else null. */
export async function readPolicy(
  file: string | undefined,
): Promise<{ policy: Policy; problem: string | null }> {
  if (file === undefined) return { policy: DEFAULT_POLICY, problem: null };
  const { loadScript, ScriptError } = await import('./script.js');
  try {
    return { policy: loadScript(file), problem: null };
  } catch (error) {
    if (!(error instanceof ScriptError)) throw error;
    return { policy: DEFAULT_POLICY, problem: `operator script ${file}: ${error.message}` };
  }
}
