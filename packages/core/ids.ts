import { v7 } from 'uuid';

export type RequestId = string;
export type GenerationId = string;
export type EndpointId = string;
export type InstanceId = string;
export type CustomerId = string;
export type DataCentreId = string;
export type ClassName = string;
export type ModelName = string;
export type VersionName = string;
/** Identifies one start of a process: a UUIDv7, so a later start sorts after an earlier one. */
export type Incarnation = string;
/** Offset of a record in one stream of the platform's log. */
export type Offset = number;

/**
 * Creates an identifier that sorts by creation time.
 *
 * @returns a UUIDv7
 */
export const createId = (): string => v7();
