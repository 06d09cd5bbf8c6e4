import type { ExpectedAnswers } from './checkPromises.js';
import type { LinkAddress } from './linkProxy.js';
import type {
  ArrivalRecord,
  BrokenRun,
  CallKind,
  CallPace,
  LeaveNotice,
  OperatorLimits,
  RunRecord,
  StoreFaultMode,
} from './types.js';
import type { Clock, Millis } from '../core/clock.js';
import type { CustomerId, DataCentreId } from '../core/ids.js';

/** Head of a request as sent over the wire. */
export interface WireCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A request to be sent, independent of its encoding. */
export interface CallSpec {
  readonly id: string;
  readonly kind: CallKind;
  readonly pace: CallPace;
  readonly key: string;
  readonly timeoutMs: Millis;
}

/** Stand-in of a worker that occupies one slot. */
export interface SoakWorker {
  readonly id: string;
  readonly dataCentre: DataCentreId;
  /** Address of the worker itself, which the slot's proxy forwards to. */
  readonly address: LinkAddress;
  /** Registers the worker under the address of the slot's proxy. */
  readonly register: (address: LinkAddress) => void;
  /** Stops at once without deregistering; the registration expires later. */
  readonly crash: () => void;
  /** Begins to drain; the worker serves until it is closed. */
  readonly leave: (notice: LeaveNotice) => void;
  /** States in all answers from now on that the worker leaves; its registration stays as it is. */
  readonly sayLeaving: () => void;
  /** Refuses requests with a value of `Retry-After`, or serves them again with null. */
  readonly setRest: (retryAfter: string | null) => void;
  /** Stops the worker after its drain and removes its registration. */
  readonly close: () => void;
}

/** Identity and addresses that the settings of one gateway process are generated from. */
export interface GatewaySpec {
  readonly name: string;
  readonly host: string;
  readonly dataCentre: DataCentreId;
  /** Hosts of the gateways that the process contacts first. */
  readonly seeds: readonly string[];
  readonly store: LinkAddress;
}

/** An API key and its customer. */
export interface CallerKey {
  readonly key: string;
  readonly customer: CustomerId;
}

/** Stand-ins of a platform, and its encoding of requests and settings. */
export interface SoakPlatform {
  readonly answers: ExpectedAnswers;
  /** Arguments of the Node.js runtime that start the gateway, with its limits of memory. */
  readonly program: readonly string[];
  /** Environment variable that holds the path of the settings file. */
  readonly settingsVariable: string;
  readonly callerPort: number;
  readonly storeAddress: LinkAddress;
  readonly formatSettings: (spec: GatewaySpec) => string;
  readonly setStoreFault: (mode: StoreFaultMode | 'none') => void;
  /** Compacts the topics of the store, so that reads of old offsets fail. */
  readonly compactStore: () => void;
  /**
   * Publishes a new version of the configuration, with the limits of the previous one if they are
   * null. The first one needs limits.
   */
  readonly publishConfiguration: (limits: OperatorLimits | null) => void;
  /** Returns the idle limit of the newest configuration. */
  readonly getIdleTimeoutMs: () => Millis;
  readonly listKeys: () => readonly CallerKey[];
  /** Revokes an API key and returns it; returns null without an effect when only one is left. */
  readonly revokeKey: () => string | null;
  /** Evacuates a data centre or ends its evacuation, and returns its name. */
  readonly setDataCentreState: (dataCentre: number, state: 'out' | 'in') => DataCentreId;
  readonly startWorker: (slot: number) => Promise<SoakWorker>;
  readonly buildCall: (spec: CallSpec) => WireCall;
  /** Returns the worker's signature of an answer, or null when there is none. */
  readonly readSignature: (headers: Readonly<Record<string, unknown>>) => string | null;
  /** Returns the executions that all workers recorded so far. */
  readonly listRuns: () => readonly RunRecord[];
  /** Returns the requests that have reached workers so far. */
  readonly listArrivals: () => readonly ArrivalRecord[];
  /** Returns the executions that workers broke off so far. */
  readonly listBrokenRuns: () => readonly BrokenRun[];
  readonly close: () => void;
}

/** Starts the stand-ins of a platform on a loopback address. */
export type StartSoakPlatform = (host: string, clock: Clock) => Promise<SoakPlatform>;
