import type { Fingerprint } from '../../decisions/quarantine/types.js';
import type { CrashReportRow } from '../peers/types.js';

/** Quarantine as it is stored for daemons that start when no other one runs. */
export interface QuarantineRecord {
  /** Fingerprint under which it is stored. */
  readonly fingerprint: Fingerprint;
  /** Crashes on which it is based, with their ages. */
  readonly crashes: readonly CrashReportRow[];
}

/** Result of loading the stored quarantines. */
export type QuarantineLoad =
  | { readonly kind: 'loaded'; readonly records: readonly QuarantineRecord[] }
  | { readonly kind: 'failed'; readonly message: string };

/** Stores quarantines; a failed call is a result, too. */
export interface QuarantineStore {
  readonly load: () => Promise<QuarantineLoad>;
  readonly save: (record: QuarantineRecord) => Promise<'saved' | 'failed'>;
  /** Removes the records of fingerprints in one call; most of them may have none. */
  readonly remove: (fingerprints: readonly Fingerprint[]) => Promise<'saved' | 'failed'>;
}
