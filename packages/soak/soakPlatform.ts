import type { ExpectedAnswers } from './checkPromises.js';
import type { LinkAddress } from './linkProxy.js';
import type { CallKind, RunRecord, StoreFaultMode } from './types.js';
import type { Clock, Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId } from '../core/ids.js';

/** A call as it goes over the wire. */
export interface WireCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A call of a caller. */
export interface CallSpec {
  readonly id: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly timeoutMs: Millis;
}

/** A worker that serves one slot. */
export interface SoakWorker {
  readonly id: string;
  readonly dataCentre: DataCentreId;
  /** Own address, behind the proxy of its slot. */
  readonly address: LinkAddress;
  /** Registers with the address of the slot's proxy. */
  readonly register: (address: LinkAddress) => void;
  /** Ends at once and says nothing; its entry lapses after a while. */
  readonly crash: () => void;
  /** Begins to leave; it serves on for a while. */
  readonly leave: (notice: 'told' | 'untold') => void;
  /** Ends after it has left. */
  readonly close: () => void;
}

/** Where one gateway process listens and what it reaches. */
export interface GatewaySpec {
  readonly name: string;
  readonly host: string;
  readonly dataCentre: DataCentreId;
  readonly seeds: readonly string[];
  readonly store: LinkAddress;
}

/** Key with its customer. */
export interface CallerKey {
  readonly key: string;
  readonly customer: CustomerId;
}

/** Stand-ins of a platform, and the words in which callers speak to a gateway there. */
export interface SoakPlatform {
  readonly answers: ExpectedAnswers;
  /** Arguments of the gateway's program, after the runtime. */
  readonly program: readonly string[];
  /** Variable that holds the path of the settings file. */
  readonly settingsVariable: string;
  readonly callerPort: number;
  readonly storeAddress: LinkAddress;
  readonly formatSettings: (spec: GatewaySpec) => string;
  readonly setStoreFault: (mode: StoreFaultMode | 'none') => void;
  readonly compactStore: () => void;
  /** Publishes a new version of the configuration. */
  readonly publishConfiguration: () => void;
  readonly listKeys: () => readonly CallerKey[];
  /** Takes a key away; null when only one is left. */
  readonly revokeKey: () => string | null;
  readonly setDataCentreState: (dataCentre: number, state: 'out' | 'in') => DataCentreId;
  readonly startWorker: (slot: number) => Promise<SoakWorker>;
  readonly buildCall: (spec: CallSpec) => WireCall;
  /** Reads the worker's mark on an answer. */
  readonly readSignature: (headers: Readonly<Record<string, unknown>>) => string | null;
  readonly listRuns: () => readonly RunRecord[];
  readonly close: () => void;
}

/** Starts the stand-ins of a platform on a loopback address. */
export type StartSoakPlatform = (host: string, clock: Clock) => Promise<SoakPlatform>;
