import { CALLER_DESCRIPTOR_SHARE, FILE_DESCRIPTORS, MAX_CONNECTIONS } from './constants.js';

/**
 * Computes how many connections callers may have open, so that there are descriptors left to call
 * endpoints.
 *
 * @param maxDescriptors - files, sockets and pipes that the process may have open
 * @returns number of connections, at least 1
 */
export const computeMaxConnections = (maxDescriptors: number): number => {
  const sockets = (maxDescriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE;
  return Math.max(1, Math.min(MAX_CONNECTIONS, Math.floor(sockets)));
};
