import { RunnerPeer, runnerKey } from '../connection/runner-peer.js';
import type { RunnerRef } from '../connection/runner-peer.js';

/** Index of an entry's known runner incarnations, by key, link and endpoint. */
export class RunnerDirectory {
  private readonly _byKey = new Map<string, RunnerPeer>();
  private readonly _byLink = new Map<string, RunnerPeer>();
  private readonly _byEndpoint = new Map<string, RunnerPeer[]>();

  /** @returns All known runner incarnations. */
  all(): IterableIterator<RunnerPeer> {
    return this._byKey.values();
  }

  /** @returns The runners that serve an endpoint. */
  ofEndpoint(endpoint: string): readonly RunnerPeer[] {
    return this._byEndpoint.get(endpoint) ?? [];
  }

  /** @returns The runner with the key, if it is known. */
  get(key: string): RunnerPeer | undefined {
    return this._byKey.get(key);
  }

  /** @returns The runner of a link, unless the link has been replaced. */
  ofLink(linkId: string): RunnerPeer | undefined {
    return this._byLink.get(linkId);
  }

  /** @returns The known incarnations of the same runner except this one. */
  otherIncarnations(ref: RunnerRef): RunnerPeer[] {
    const key = runnerKey(ref);
    return [...this._byKey.values()].filter(
      (peer) => peer.ref.id === ref.id && peer.key !== key,
    );
  }

  /**
   * Gets a runner and adds it if it is not known.
   *
   * @param ref - A runner incarnation.
   * @param now - Current time in milliseconds.
   * @returns The runner.
   */
  ensure(ref: RunnerRef, now: number): RunnerPeer {
    const known = this._byKey.get(runnerKey(ref));
    if (known) {
      return known;
    }
    const peer = new RunnerPeer(ref, now);
    this._byKey.set(peer.key, peer);
    const peers = this._byEndpoint.get(ref.endpoint) ?? [];
    peers.push(peer);
    this._byEndpoint.set(ref.endpoint, peers);
    return peer;
  }

  /** @param peer - A runner whose link has just been opened. */
  indexLink(peer: RunnerPeer): void {
    if (peer.link) {
      this._byLink.set(peer.link.linkId, peer);
    }
  }

  /** @param peer - A runner whose link has ended or is abandoned. */
  dropLink(peer: RunnerPeer): void {
    if (peer.link) {
      this._byLink.delete(peer.link.linkId);
      peer.link = undefined;
    }
  }

  /** @param peer - A runner incarnation that is lost. */
  remove(peer: RunnerPeer): void {
    this.dropLink(peer);
    this._byKey.delete(peer.key);
    const peers = this._byEndpoint.get(peer.ref.endpoint) ?? [];
    this._byEndpoint.set(
      peer.ref.endpoint,
      peers.filter((p) => p !== peer),
    );
  }
}
