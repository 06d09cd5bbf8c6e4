import type { z } from 'zod';
import type { SCENARIO_SCHEMA } from './schema.js';

/** A validated scenario with all defaults filled in. */
export type Scenario = z.output<typeof SCENARIO_SCHEMA>;

export type Deployment = Scenario['deployment'];

export type EngineDeployment = Deployment['engines'][number];

export type ServiceDeployment = Deployment['services'][number];

/** A request class with its arrival rate. */
export type LoadClass = Scenario['classes'][number];

export type GenerationClass = Extract<LoadClass, { kind: 'generation' }>;

export type LoadCustomer = Scenario['customers'][number];

export type LoadPhase = Scenario['phases'][number];

/** Distribution of a length in tokens. */
export type LengthDistribution = GenerationClass['prompt'];

/** An action and the time of the run at which it is due. */
export type ScheduleEntry = Scenario['schedule'][number];

export type ScheduledAction = ScheduleEntry['action'];

/** Fault of a process, injected by the cluster. */
export type ProcessFault = Extract<ScheduledAction, { kind: 'process' }>['fault'];

/** Action of an operator, performed by the cluster. */
export type OperatorAction = Extract<ScheduledAction, { kind: 'operator' }>['action'];

export type LoadPolicy = Scenario['policies'][number];
