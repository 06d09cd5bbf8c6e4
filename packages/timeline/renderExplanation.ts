import type {
  Attempt,
  RequestExplanation,
  MoveExplanation,
  MoveStep,
  PlacementStep,
  Refusal,
  Wait,
} from './explainTypes.js';

const formatDuration = (durationMs: number | undefined): string =>
  durationMs === undefined ? 'without a recorded end' : `for ${durationMs.toFixed(1)} ms`;

const renderPlacement = (step: PlacementStep): readonly string[] => [
  `  ${step.process} chose ${step.chosen}: ${step.reason}`,
  ...step.candidates.map((candidate) => `    candidate ${candidate}`),
];

const renderAttempt = (attempt: Attempt): string => {
  const code = attempt.code === undefined ? '' : ` (${attempt.code})`;
  const sent = attempt.sent === undefined ? '' : `, message ${attempt.sent}`;
  const duration = formatDuration(attempt.durationMs);
  return `  ${attempt.process} to ${attempt.endpoint}: ${attempt.verdict}${code} ${duration}${sent}`;
};

const renderWait = (wait: Wait): string =>
  `  ${wait.process} ${wait.kind} ${formatDuration(wait.durationMs)}: ${wait.cause}`;

const renderRefusal = (refusal: Refusal): string =>
  `  ${refusal.process} ${refusal.name}: ${refusal.code}, ${refusal.verdict}; ${refusal.reason}`;

const renderSection = (title: string, lines: readonly string[]): readonly string[] =>
  lines.length === 0 ? [] : [title, ...lines];

/**
 * Renders the explanation of a request as human-readable text.
 *
 * @param explanation - explanation of the request
 * @returns lines of text
 */
export const renderExplanationText = (explanation: RequestExplanation): string =>
  [
    `request ${explanation.requestId}: ${explanation.end}, ${explanation.events.toString()} events`,
    ...renderSection('placements', explanation.placements.flatMap(renderPlacement)),
    ...renderSection('attempts', explanation.attempts.map(renderAttempt)),
    ...renderSection('waits', explanation.waits.map(renderWait)),
    ...renderSection('refusals', explanation.refusals.map(renderRefusal)),
    '',
  ].join('\n');

const renderStep = (step: MoveStep): string => {
  const fields = [
    step.offset === undefined ? '' : `offset ${step.offset.toString()}`,
    step.share === undefined ? '' : `share ${(step.share * 100).toFixed(1)}%`,
    step.reason ?? '',
    step.evidence === undefined ? '' : `evidence: ${step.evidence}`,
  ].filter((field) => field !== '');
  return `  ${step.process} ${step.name}${fields.length === 0 ? '' : `: ${fields.join(', ')}`}`;
};

/**
 * Renders the explanation of a version move as human-readable text.
 *
 * @param explanation - explanation of the move
 * @returns lines of text
 */
export const renderMoveText = (explanation: MoveExplanation): string => {
  const { move, state, endedAt } = explanation;
  const end = endedAt === undefined ? '' : ` by the record at offset ${endedAt.toString()}`;
  return [`move ${move}: ${state}${end}`, ...explanation.steps.map(renderStep), ''].join('\n');
};
