import { expect } from 'earl';
import { Step, allCells, isApplicable, runCell } from '../lib/sim/matrix.js';

for (const step of Object.values(Step)) {
  it(`guarantees hold for every fault at step ${step}`, () => {
    const cells = allCells().filter((cell) => cell.step === step);
    for (const cell of cells.filter(isApplicable)) {
      const { isInjected, violations } = runCell(cell);
      expect({ cell, isInjected, violations }).toEqual({
        cell,
        isInjected: true,
        violations: [],
      });
    }
  });
}
