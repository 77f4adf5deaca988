/** The result of a reducer: the next state, and the effects that the shell has to carry out. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};
