import { readFile } from 'node:fs/promises';
import { parse } from 'smol-toml';
import { z } from 'zod';

/** Schema of a scenario: sizes, loads and seed of the experiments. */
export const scenarioSchema = z.strictObject({
  seed: z.int(),
  seconds: z.number().positive(),
  warmup_seconds: z.number().min(0),
  entries: z.int().positive(),
  runners: z.array(z.string()).min(1),
  // At a load of 1 or more the queue grows without bound.
  loads: z.array(z.number().positive().max(0.98)).min(1),
  // Entries accept at most 800 tasks per job.
  tasks_per_job: z.int().positive().max(800),
  urgent_share: z.number().min(0).max(1),
  prefetch: z.int().min(0).optional(),
});

/** A validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;

/**
 * Reads and validates a scenario file.
 *
 * @param file - Path of a TOML file.
 * @returns The validated scenario.
 * @throws An error that names the file and the invalid keys.
 */
export const readScenario = async (file: string): Promise<Scenario> => {
  const parsed = scenarioSchema.safeParse(parse(await readFile(file, 'utf8')));
  if (!parsed.success) {
    throw new Error(`${file}: ${z.prettifyError(parsed.error)}`);
  }
  return parsed.data;
};
