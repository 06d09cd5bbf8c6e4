import type { z } from 'zod';
import type { SCENARIO_SCHEMA } from './schema.js';

/** A scenario with all defaults filled in. */
export type Scenario = z.output<typeof SCENARIO_SCHEMA>;

export type Deployment = Scenario['deployment'];

export type EngineDeployment = Deployment['engines'][number];

export type ServiceDeployment = Deployment['services'][number];

/** One class of work with its arrival rate. */
export type LoadClass = Scenario['classes'][number];

export type GenerationClass = Extract<LoadClass, { kind: 'generation' }>;

export type LoadCustomer = Scenario['customers'][number];

export type LoadPhase = Scenario['phases'][number];

/** Distribution of a length in tokens. */
export type LengthDistribution = GenerationClass['prompt'];

/** Something that happens at a fixed time of the run. */
export type ScheduleEntry = Scenario['schedule'][number];

export type ScheduledAction = ScheduleEntry['action'];

/** Fault of a process, which the cluster carries out. */
export type ProcessFault = Extract<ScheduledAction, { kind: 'process' }>['fault'];

/** Action of an operator, which the cluster carries out. */
export type OperatorAction = Extract<ScheduledAction, { kind: 'operator' }>['action'];

export type LoadPolicy = Scenario['policies'][number];
