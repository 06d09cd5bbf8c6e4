import type { Forwarding, RequestsContext, RequestsInputs } from './types.js';
import { createFailure } from '../../core/verdict.js';
import type { Failure } from '../../core/verdict.js';
import type { ContentCheck, QuarantinedContent } from '../../decisions/quarantine/crashEvidence.js';
import type { ContentFingerprints, Fingerprint } from '../../decisions/quarantine/types.js';
import type { ForwardRequest } from '../../decisions/forwarding/types.js';

/** Longest fingerprint of a prompt part. Quarantines are stored under them, in keys of 255 bytes. */
const MAX_FINGERPRINT_CHARS = 120;

/**
 * Lists the fingerprints of the prompt parts that a request can share with others. The same part
 * may crash one model and not another. The last part belongs to the request alone. Parts with long
 * names have none; without that limit, a long name of the model would count once for each part.
 *
 * @param request - request
 * @returns one fingerprint for each part
 */
export const listPartFingerprints = ({
  demand,
  promptParts,
}: ForwardRequest): readonly Fingerprint[] => {
  const model = demand?.model ?? '';
  const maxPartChars = MAX_FINGERPRINT_CHARS - model.length - 1;
  return promptParts
    .slice(0, -1)
    .filter(({ length }) => length <= maxPartChars)
    .map((part) => `${model}/${part}`);
};

/**
 * Computes the fingerprints of a request's content.
 *
 * @param request - request
 * @param inputs - hash of the whole content
 * @returns the fingerprint of the whole content and those of its shared prompt parts
 */
export const computeFingerprints = (
  request: ForwardRequest,
  { hashContent }: RequestsInputs,
): ContentFingerprints => ({ whole: hashContent(request), parts: listPartFingerprints(request) });

/**
 * Checks whether the content of a request is quarantined.
 *
 * @param request - request that is about to be sent to an endpoint
 * @param inputs - known crashes
 * @returns the result of the check
 */
export const checkRequestContent = (
  request: ForwardRequest,
  inputs: RequestsInputs,
): ContentCheck =>
  // Hashing the content takes time, and crashes are rare.
  inputs.hasCrashes()
    ? inputs.checkContent(computeFingerprints(request, inputs))
    : { kind: 'accepted' };

/**
 * Creates the refusal of a request with quarantined content. A retry is useless until the
 * quarantine ends.
 *
 * @param content - fingerprint and duration of the quarantine
 * @returns the failure
 */
export const createQuarantineFailure = ({ leftMs }: QuarantinedContent): Failure =>
  createFailure(
    'not-run',
    'no-endpoint',
    'several endpoints crashed as they began to answer requests with this content',
    leftMs,
  );

/**
 * Lists the fingerprints of a request that an endpoint answered without a crash.
 *
 * @param forwarding - request
 * @param context - inputs
 * @returns the fingerprints; that of the whole content only while there are crashes to clear
 */
export const listAnsweredFingerprints = (
  { request }: Forwarding,
  { inputs }: RequestsContext,
): readonly Fingerprint[] =>
  inputs.hasCrashes()
    ? [inputs.hashContent(request), ...listPartFingerprints(request)]
    : listPartFingerprints(request);
