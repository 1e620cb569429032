import { expect } from 'earl';
import { Step, allCells, isPossible, runCell } from '../lib/sim/matrix.js';

for (const step of Object.values(Step)) {
  it(`guarantees hold for every fault at step ${step}`, () => {
    const cells = allCells().filter((cell) => cell.step === step);
    for (const cell of cells.filter(isPossible)) {
      const { struck, violations } = runCell(cell);
      expect({ cell, struck, violations }).toEqual({
        cell,
        struck: true,
        violations: [],
      });
    }
  });
}
