import type {
  FollowReply,
  FollowRequest,
  StoreReply,
  StoreRequest,
  WorkerCall,
  WorkerReply,
} from '@sapphiremux/core';

/** The platform's store as the daemon uses it; calls never reject. */
export interface FleetStore {
  /**
   * @param part - Part of the tables that the call is about.
   * @param req - The call.
   */
  call(part: string, req: StoreRequest): Promise<StoreReply>;
  /** @param req - A call that follows a table. */
  follow(req: FollowRequest): Promise<FollowReply>;
  /** Ends all connections. */
  close(): Promise<void>;
}

/** The worker on this VM as the daemon uses it; calls never reject. */
export interface WorkerPort {
  /** @param call - An order to the worker. */
  call(call: WorkerCall): Promise<WorkerReply>;
  /** Ends all connections. */
  close(): Promise<void>;
}
