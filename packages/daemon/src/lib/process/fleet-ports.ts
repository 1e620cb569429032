import type {
  FollowReply,
  FollowRequest,
  StoreReply,
  StoreRequest,
  WorkerCall,
  WorkerReply,
} from '@sapphiremux/core';

/**
 * Access to the platform's store. Calls never reject: a failure is one of the
 * replies.
 */
export interface StorePort {
  /**
   * @param part - Partition of the tables that the call reads or writes.
   * @param req - The request.
   */
  call(part: string, req: StoreRequest): Promise<StoreReply>;
  /** @param req - Request for all rows of a table or for its changes. */
  follow(req: FollowRequest): Promise<FollowReply>;
  /** Ends all connections. */
  close(): Promise<void>;
}

/**
 * Access to the worker on this VM. Calls never reject: a failure is one of the
 * replies.
 */
export interface WorkerPort {
  /** @param call - The request to the worker. */
  call(call: WorkerCall): Promise<WorkerReply>;
  /** Ends all connections. */
  close(): Promise<void>;
}
