/** What a reducer returns: the next state, and effects as data for the shell to carry out. */
export type Step<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};
