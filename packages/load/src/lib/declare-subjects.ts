import { call } from '@sapphiremux/standins';
import type { LocalCluster } from '@sapphiremux/standins';

const UNLIMITED = 1_000_000;

/**
 * Applies the ticket that declares the data centres, the endpoint and the desk
 * of an experiment.
 *
 * @param cluster - A running cluster.
 * @param dataCentres - Data centre names; duplicates are ignored.
 */
export const declareSubjects = async (
  cluster: LocalCluster,
  dataCentres: readonly string[],
): Promise<void> => {
  const names = [...new Set(dataCentres)];
  await call(cluster.entries[0]?.port ?? 0, 'POST', '/v1/tickets', {
    author: 'bench',
    reason: 'declare the estate',
    changes: [
      ...names.map((name) => ({
        subject: `data-centre/${name}`,
        setting: { kind: 'data-centre', inService: true },
      })),
      {
        subject: 'endpoint/levy',
        setting: { kind: 'endpoint', inService: true, dataCentres: names },
      },
      {
        subject: 'desk/bench',
        setting: { kind: 'desk', ratePerSecond: UNLIMITED, burst: UNLIMITED },
      },
    ],
  });
};
