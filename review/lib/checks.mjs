/** @returns The starts of each task, in the order of their times. */
export const startsByTask = (starts) => {
  const byTask = new Map();
  for (const start of starts) {
    byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
  }
  return byTask;
};
