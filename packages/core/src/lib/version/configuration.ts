import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { RunnerConfig } from '../messages.js';
import type { Change, Setting, Ticket } from './ticket.js';

type SettingOf<K extends Setting['kind']> = Extract<Setting, { kind: K }>;

/**
 * One version of the configuration: the result of applying the accepted tickets
 * up to its number.
 *
 * Instances are immutable; applying the next ticket creates a new one. Tickets
 * are applied in order and without gaps, so a version never reverts.
 */
export class Configuration {
  /** The configuration before the first ticket. */
  static readonly empty = new Configuration(0, new Map());

  readonly version: number;
  private readonly _settings: ReadonlyMap<string, Setting>;

  private constructor(version: number, settings: ReadonlyMap<string, Setting>) {
    this.version = version;
    this._settings = settings;
  }

  /**
   * @param ticket - The ticket whose number follows this version.
   * @returns The configuration after the ticket, or why it can't be applied.
   */
  apply(ticket: Ticket): Result<Configuration, string> {
    if (ticket.number !== this.version + 1) {
      return Err(
        `Ticket ${String(ticket.number)} does not follow version ${String(this.version)}.`,
      );
    }
    const settings = new Map(this._settings);
    for (const change of ticket.changes) {
      if (change.setting === null) {
        settings.delete(change.subject);
      } else {
        settings.set(change.subject, change.setting);
      }
    }
    return Ok(new Configuration(ticket.number, settings));
  }

  /**
   * Checks a proposed set of changes against this configuration.
   *
   * @param changes - The changes of a ticket that is not yet accepted.
   * @returns `Ok`, or `Err` with the first reason to reject the changes.
   */
  check(changes: readonly Change[]): Result<undefined, string> {
    if (changes.length === 0) {
      return Err('A ticket needs at least one change.');
    }
    const subjects = new Set<string>();
    for (const change of changes) {
      if (subjects.has(change.subject)) {
        return Err(`Subject "${change.subject}" is changed twice; keep one.`);
      }
      subjects.add(change.subject);
      const problem = this._checkChange(change, changes);
      if (problem) {
        return Err(problem);
      }
    }
    return Ok(undefined);
  }

  /** @returns Every subject with its setting, in order of declaration. */
  entries(): [string, Setting][] {
    return [...this._settings];
  }

  /**
   * @param name - Name of a data centre.
   * @returns Whether the data centre is declared and in service.
   */
  isDataCentreInService(name: string): boolean {
    return this._get('data-centre', name)?.inService ?? false;
  }

  /**
   * @param name - Name of an endpoint.
   * @param dataCentre - Data centre in which tasks would start.
   * @returns Whether the endpoint is in service and allowed there.
   */
  isEndpointInService(name: string, dataCentre: string): boolean {
    const endpoint = this.endpoint(name);
    return (
      endpoint !== undefined &&
      endpoint.inService &&
      endpoint.dataCentres.includes(dataCentre)
    );
  }

  /** @returns The declared endpoint, if there is one. */
  endpoint(name: string): SettingOf<'endpoint'> | undefined {
    return this._get('endpoint', name);
  }

  /** @returns The declared data centre, if there is one. */
  dataCentre(name: string): SettingOf<'data-centre'> | undefined {
    return this._get('data-centre', name);
  }

  /** @returns The declared desk, if there is one. */
  desk(name: string): SettingOf<'desk'> | undefined {
    return this._get('desk', name);
  }

  /** @returns All declared worker shapes. */
  workerShapes(): SettingOf<'worker-shape'>[] {
    const shapes: SettingOf<'worker-shape'>[] = [];
    for (const setting of this._settings.values()) {
      if (setting.kind === 'worker-shape') {
        shapes.push(setting);
      }
    }
    return shapes;
  }

  /**
   * @param dataCentre - Data centre of the runner.
   * @param endpoint - Name of the endpoint that the runner serves.
   * @returns The part of this version that the runner checks.
   */
  forRunner(dataCentre: string, endpoint: string): RunnerConfig {
    return {
      version: this.version,
      dataCentreInService: this.isDataCentreInService(dataCentre),
      endpointInService: this.isEndpointInService(endpoint, dataCentre),
    };
  }

  private _get<K extends Setting['kind']>(
    kind: K,
    name: string,
  ): SettingOf<K> | undefined {
    const setting = this._settings.get(`${kind}/${name}`);
    return setting?.kind === kind ? (setting as SettingOf<K>) : undefined;
  }

  private _checkChange(
    change: Change,
    changes: readonly Change[],
  ): string | undefined {
    const [kind, ...name] = change.subject.split('/');
    if (name.join('/') === '') {
      return `Subject "${change.subject}" needs a kind and a name, as in "data-centre/north".`;
    }
    if (change.setting === null) {
      return this._settings.has(change.subject)
        ? undefined
        : `Subject "${change.subject}" is not declared, so it can't be removed.`;
    }
    if (change.setting.kind !== kind) {
      return `Subject "${change.subject}" does not fit a setting of kind "${change.setting.kind}".`;
    }
    if (change.setting.kind !== 'endpoint') {
      return undefined;
    }
    return this._checkDataCentres(change.setting, changes);
  }

  private _checkDataCentres(
    endpoint: SettingOf<'endpoint'>,
    changes: readonly Change[],
  ): string | undefined {
    if (endpoint.dataCentres.length === 0) {
      return 'An endpoint needs at least one data centre.';
    }
    for (const name of endpoint.dataCentres) {
      const subject = `data-centre/${name}`;
      const change = changes.find((c) => c.subject === subject);
      const known = change
        ? change.setting !== null
        : this._settings.has(subject);
      if (!known) {
        return `Data centre "${name}" is not declared; declare it in this ticket or an earlier one.`;
      }
    }
    return undefined;
  }
}
