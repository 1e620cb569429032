import type { Room } from '../messages.js';

/** Zero of every resource. */
export const ZERO_ROOM: Room = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };

/** @returns The sum of both. */
export const addRoom = (a: Room, b: Room): Room => ({
  cpuMilli: a.cpuMilli + b.cpuMilli,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/** @returns `a` less `b`; each resource is at least zero. */
export const subtractRoom = (a: Room, b: Room): Room => ({
  cpuMilli: Math.max(0, a.cpuMilli - b.cpuMilli),
  memoryMb: Math.max(0, a.memoryMb - b.memoryMb),
  accelerators: Math.max(0, a.accelerators - b.accelerators),
});

/** @returns The room with each resource rounded up to a whole number. */
export const ceilRoom = (room: Room): Room => ({
  cpuMilli: Math.ceil(room.cpuMilli),
  memoryMb: Math.ceil(room.memoryMb),
  accelerators: Math.ceil(room.accelerators),
});

/** @returns Whether both are equal in every resource. */
export const isSameRoom = (a: Room, b: Room): boolean =>
  a.cpuMilli === b.cpuMilli &&
  a.memoryMb === b.memoryMb &&
  a.accelerators === b.accelerators;

/** @returns Whether `needs` fits into `free`. */
export const fits = (needs: Room, free: Room): boolean =>
  needs.cpuMilli <= free.cpuMilli &&
  needs.memoryMb <= free.memoryMb &&
  needs.accelerators <= free.accelerators;
