/** Result of one decision: the next state and the effects that adapters carry out. */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/**
 * Builds the result of a decision.
 *
 * @param state - next state
 * @param effects - effects to carry out, in order
 * @returns the step
 */
export const toStep = <State, Effect>(
  state: State,
  // NoInfer: the effect type is inferred from the expected type, not from the first effect alone.
  ...effects: readonly NoInfer<Effect>[]
): Step<State, Effect> => ({ state, effects });
