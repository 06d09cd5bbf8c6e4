import type { AttemptEnd } from './attemptEnds.js';
import type { CopyLocation } from './generationCopy.js';
import type { GatewayEffect } from '../effects.js';
import type { AttemptFailure, ProbeResult } from '../events.js';
import type { AnswerHead, LiveSettings, RunState } from '../types.js';
import type { ByteBlocks } from '../../core/bytes/byteBlocks.js';
import type { Clock, Millis } from '../../core/clock.js';
import type { DataCentreId, EndpointId } from '../../core/ids.js';
import type { RandomSource } from '../../core/random.js';
import type { EventSplitter } from '../../decisions/forwarding/eventSplitter.js';
import type { WaitingRequest } from '../../decisions/forwarding/crowding.js';
import type { FleetKnowledge } from '../../decisions/forwarding/fleetShare.js';
import type { Candidate } from '../../decisions/forwarding/placeAttempt.js';
import type { HolderState, ResumptionLimits } from '../../decisions/forwarding/resumption.js';
import type { BudgetWindow } from '../../decisions/forwarding/budgetWindow.js';
import type { RecentUse } from '../../decisions/forwarding/recentUse.js';
import type { SendPermit } from '../../decisions/forwarding/sendPermits.js';
import type { ContentCheck } from '../../decisions/quarantine/crashEvidence.js';
import type { ContentFingerprints } from '../../decisions/quarantine/types.js';
import type { RoutingTable } from '../../decisions/forwarding/routing.js';
import type { EndpointStatements } from '../../decisions/forwarding/statements.js';
import type {
  Customer,
  EndpointIncarnation,
  EndpointRecord,
  ForwardRequest,
  Route,
  Service,
  ServiceName,
} from '../../decisions/forwarding/types.js';

/**
 * Transfer of a running generation to another endpoint. Transfers from one source run one at a
 * time, since they share its network link. The source keeps running the generation while it is
 * copied; then the source stops it and closes its stream, which is incomplete.
 */
export type Transfer =
  | {
      readonly phase: 'waiting';
      /** Number of times that copying has been started. */
      readonly tries: number;
      readonly dueAt: Millis;
    }
  | {
      readonly phase: 'copying' | 'stopping';
      readonly tries: number;
      readonly target: EndpointRecord;
      /** Permission to send the request to the target; the budget is asked before the source stops. */
      readonly permit: SendPermit;
    };

/** A transfer that has begun. */
export type StartedTransfer = Extract<Transfer, { phase: 'copying' | 'stopping' }>;

/** Copy of a running generation that a transfer made at another endpoint. */
export interface TransferredCopy {
  readonly holder: EndpointRecord;
  /** Identifier that the source assigned to the copy. */
  readonly handle: string;
}

/** Progress of an attempt; before `sent`, no byte of the request has been sent. */
export type AttemptPhase = 'connecting' | 'sent' | 'answering';

/** One attempt at one endpoint; only the requests child updates it, in place. */
export interface Attempt {
  readonly number: number;
  readonly endpoint: EndpointRecord;
  /** Permission to send the request, and what the attempt is for. */
  readonly permit: SendPermit;
  readonly startedAt: Millis;
  /** Whether it resumes a generation from the memory that the endpoint holds. */
  readonly start: 'anew' | 'from-copy';
  /**
   * Endpoint to which the generation is replicated from its start; null without a backup, or when a
   * continuation has used it.
   */
  backup: EndpointRecord | null;
  phase: AttemptPhase;
  /** Instant at which the request was sent; that of the start before. */
  sentAt: Millis;
  head: AnswerHead | null;
  /** Whole answer, as far as it has been received; of a stream, what is held (`releaseHeldStream`). */
  readonly body: ByteBlocks;
  readonly splitter: EventSplitter;
  /** Bytes that the daemon keeps of the answer, as counted in `RequestsState.answerBytes`. */
  heldBytes: number;
  lastEventAt: Millis;
  /** Newest answer of the engine about this run; null since the newest event arrived. */
  reportedRun: RunState | null;
  transfer: Transfer | null;
  /** Copy of the generation that a transfer made; null without one. */
  copy: TransferredCopy | null;
  /**
   * Endpoint that stopped the generation for a transfer and still has its memory, from which it can
   * resume if this endpoint refuses; null for other attempts.
   */
  readonly fallback: CopyLocation | null;
  /** Endpoints that refused a transfer of the generation for lack of capacity. */
  readonly refusedTargets: Set<EndpointId>;
  /** Whether the endpoint's stream can still deliver events, and how it ended. */
  streamState: 'open' | 'ended' | 'broken';
  /** Failure after which the endpoint is being probed; null while the connection is open. */
  failure: AttemptFailure | null;
  /** Result of that probe; null before it. */
  probe: ProbeResult | null;
  /** Whether the endpoint was probed since its answer, which has no length, ended with the connection. */
  endProof: 'none' | 'asked' | 'given';
  /** Number of events received from this endpoint. */
  events: number;
}

/** A complete answer of an endpoint. */
export interface WholeAnswer {
  readonly head: AnswerHead;
  /** Parts of the body, in order. */
  readonly body: readonly Uint8Array[];
  /** Memory that the body takes. */
  readonly heldBytes: number;
}

/** Wait of a request for room in an engine. */
export interface RoomWait {
  /** Instant at which it is sent to a crowded engine all the same. */
  readonly until: Millis;
  /** What its turn depends on, as of the start of the wait. */
  readonly waiting: WaitingRequest;
}

/** What the answers of an engine say about a run that was given up. */
export type RunStopPhase =
  /** The engine may be working on it. */
  | 'unconfirmed'
  /** The engine does not work on it now. It may do so later: the run may be queued there, or preempted. */
  | 'not-running'
  /** No connection to the engine was established, or there is no endpoint to name in the order. */
  | 'unreachable';

/**
 * Order to stop a run that its engine may go on with although the attempt was given up. It is repeated
 * until the end of the run is proved, also after the end of the request. Only `runStops.ts`, `stopOrders.ts`,
 * `stopAnswers.ts` and `stopState.ts` update it, in place.
 */
export interface RunStop {
  readonly key: number;
  readonly requestId: string;
  readonly route: string;
  /** Number of the attempt. */
  readonly attempt: number;
  readonly endpoint: EndpointRecord;
  /** Number of events that the attempt had received. */
  readonly events: number;
  /** Instant at which the request was sent. */
  readonly sentAt: Millis;
  /** Instant at which the attempt was given up, or at which the order to stop a silent stream began. */
  readonly since: Millis;
  /** Deadline of the request, at which each engine stops working on it. */
  readonly endsAt: Millis;
  /** Whether the engine takes orders to stop runs, or can only be asked for its report. */
  readonly means: 'order' | 'report';
  /** Endpoint that gets the memory of the run; null while there is none. */
  target: EndpointRecord | null;
  /** Permission to go on from the memory of a silent stream; the budget is asked before its engine stops. */
  permit: SendPermit | null;
  phase: RunStopPhase;
  order: 'pending' | 'answered';
  /** Number of times that the order was given. */
  orders: number;
  /** What the engine said of the run when it was asked last. */
  report: RunState['kind'] | 'none';
  /** Instant of the newest sign that the engine is reached: an answer or a report; null without one. */
  reachedAt: Millis | null;
  /** Number of orders since then for which no connection was established. */
  misses: number;
  /** Instant at which the engine was asked for its report; at first that of `since`. */
  askedAt: Millis;
  /** Number of checks that have been scheduled; only the last of them counts. */
  checks: number;
}

/** The attempt that ended last of a request that waits until its runs have stopped. */
export interface EndedAttempt {
  readonly attempt: Attempt;
  readonly end: AttemptEnd;
  /** Instant at which the attempt ended. */
  readonly since: Millis;
}

/** One request in flight; only the requests child updates it, in place. */
export interface Forwarding {
  readonly request: ForwardRequest;
  readonly route: Route;
  readonly service: Service;
  readonly customer: Customer | null;
  readonly deadlineAt: Millis;
  /** Version of the configuration under which the request was accepted. */
  readonly configurationVersion: number;
  readonly attempts: Map<number, Attempt>;
  readonly tried: Set<EndpointId>;
  /** Set while the request goes on once no engine works on the runs of its earlier attempts. */
  waitsForStops: EndedAttempt | null;
  attemptsMade: number;
  /** Number of attempts that were sent. */
  sends: number;
  /** Permission with which the request waits for an endpoint; null while it does not wait. */
  waitingPermit: SendPermit | null;
  /** Its wait for room in an engine; null while it does not wait. */
  roomWait: RoomWait | null;
  /** Number of ended attempts that may have run the request. */
  possibleRuns: number;
  /** Number of endpoints that crashed before they answered the request. */
  crashedEndpoints: number;
  /** Number of times that the generation waited for its transfer again. */
  repeatedTransfers: number;
  /** Number of attempts that ended without running the request. */
  notRunAttempts: number;
  verdict: 'not-run' | 'may-have-run';
  /** What the caller has been sent of the answer. */
  delivered: 'nothing' | 'events';
  lastEventId: string | null;
  /** Number of events that the caller has been sent. */
  eventsDelivered: number;
  /** Answer of a failed attempt, which the caller gets when no further attempt succeeds. */
  fallbackAnswer: WholeAnswer | null;
  firstEventAt: Millis | null;
  /** Whether the request was counted for the usage reports. */
  usage: 'not-counted' | 'counted';
  longestGapMs: Millis;
  lastDeliveredAt: Millis;
}

export interface RequestsState {
  /** Instant from which this state has counted requests; nothing from before it is known. */
  readonly startedAt: Millis;
  readonly inFlight: Map<number, Forwarding>;
  /** Runs that were given up, by the key of their request and the number of the attempt. */
  readonly runStops: Map<number, Map<number, RunStop>>;
  /** Bytes that are kept of all answers: whole ones in part, and events in part. */
  answerBytes: number;
  readonly budgets: Map<ServiceName, BudgetWindow>;
  /** Instants of the latest requests to each endpoint, oldest first. */
  readonly sentTimes: Map<EndpointId, readonly Millis[]>;
  /** Keys of the requests of each service that wait for room in an engine. */
  readonly waiting: Map<ServiceName, Set<number>>;
  /** Services whose waiting requests are due to be tried. */
  readonly scheduledRooms: Set<ServiceName>;
  /** Tokens of the requests of each customer that were placed lately. */
  readonly recentUse: RecentUse;
  /** Mean tokens that the most urgent requests of each service need. */
  readonly urgentNeeds: Map<ServiceName, number>;
}

/** Progress of a daemon's drain. */
export interface DrainTimes {
  /** Time since the daemon received the stop signal. */
  readonly drainedMs: Millis;
  /** Time left until the daemon ends at the latest. */
  readonly leftMs: Millis;
}

/** Inputs of the decisions on requests that come from the rest of the daemon. */
export interface RequestsInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly dataCentre: DataCentreId;
  readonly getRoutingTable: () => RoutingTable | null;
  readonly listEndpoints: (service: ServiceName) => readonly Candidate[];
  /** Finds what is known of an endpoint that holds the memory of a generation. */
  readonly findHolder: (holder: EndpointRecord) => HolderState;
  readonly getResumptionLimits: () => ResumptionLimits;
  /** Counts the daemons of which reports arrived lately, including this one. */
  readonly countDaemons: () => number;
  /** Describes the fleet for the limits that its daemons share. */
  readonly getFleet: () => FleetKnowledge;
  /** Whether this daemon is one of a number of the fleet that use an endpoint. */
  readonly isUserOf: (endpoint: EndpointId, users: number) => boolean;
  /** Progress of the drain; null while the daemon is not draining. */
  readonly getDrain: () => DrainTimes | null;
  /** Whether a peer has a generation of higher priority to transfer from an endpoint. */
  readonly hasPeerWithHigherPriority: (source: EndpointId, priority: number) => boolean;
  readonly getLiveSettings: () => LiveSettings;
  /** Finds what an incarnation of an endpoint has stated; null without a statement. */
  readonly findStatements: (endpoint: EndpointIncarnation) => EndpointStatements | null;
  /** Whether there is memory for `RequestsState.answerBytes`. */
  readonly hasAnswerRoom: () => boolean;
  /** Whether any crash is known that a request may have caused. */
  readonly hasCrashes: () => boolean;
  readonly checkContent: (content: ContentFingerprints) => ContentCheck;
  readonly hashContent: (request: ForwardRequest) => string;
  readonly usageReports: 'on' | 'off';
}

/** State and inputs of one decision on requests. */
export interface RequestsContext {
  readonly state: RequestsState;
  readonly inputs: RequestsInputs;
}

export type Effects = readonly GatewayEffect[];
