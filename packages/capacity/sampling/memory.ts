const measureUsedBytes = (): number => {
  if (globalThis.gc === undefined) throw new Error('measuring memory requires node --expose-gc');
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

/**
 * Measures the memory that a structure holds: the growth of the heap and of array buffers while it
 * is built.
 *
 * @param build - builds the structure; inputs that the structure does not keep must be built inside
 * @returns bytes, and the structure, which must stay reachable until it is measured
 * @throws Error when Node runs without `--expose-gc`
 */
export const measureMemory = <State>(
  build: () => State,
): { readonly bytes: number; readonly state: State } => {
  const before = measureUsedBytes();
  const state = build();
  return { bytes: measureUsedBytes() - before, state };
};
