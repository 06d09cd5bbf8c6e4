const measureUsedBytes = (): number => {
  if (globalThis.gc === undefined) throw new Error('run node with --expose-gc');
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

/**
 * Measures the memory that a structure holds: the heap and typed arrays after it was built, less
 * what they were before.
 *
 * @param build - builds the structure; inputs that it does not keep must be built inside
 * @returns bytes, and the structure, which must stay alive for the measurement
 */
export const measureMemory = <State>(
  build: () => State,
): { readonly bytes: number; readonly state: State } => {
  const before = measureUsedBytes();
  const state = build();
  return { bytes: measureUsedBytes() - before, state };
};
