/** Bytes that one part of a daemon keeps for others, within a limit. */
export interface MemoryAccount {
  readonly limitBytes: number;
  /** Reserves bytes before they are kept; returns `full`, and reserves none, above the limit. */
  readonly reserve: (bytes: number) => 'reserved' | 'full';
  /** Reports whether bytes could be reserved now; unlike a failed `reserve`, no receiver is told. */
  readonly hasRoom: (bytes: number) => boolean;
  /** Returns reserved bytes that are not kept any more. */
  readonly release: (bytes: number) => void;
  readonly getReserved: () => number;
}

/** Memory of a process that its garbage collector manages. */
export interface ManagedMemory {
  /** Returns the bytes in use, those of objects that are garbage already included. */
  readonly readUsedBytes: () => number;
  /** Frees the memory of all garbage; blocks the process meanwhile. */
  readonly collect: () => void;
}
