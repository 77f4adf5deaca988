import type {StepSpecification} from './types.js';

/** A step of one small task that asks for nothing special; a base for steps in models and tests. */
export const plainStep: StepSpecification = {
	count: 1,
	request: {cpuMillicores: 1000, memoryMb: 512, gpus: 0},
	estimateMs: 500,
	dependsOn: [],
	hasCheckpoints: false,
	isGang: false,
	isRackLocal: false,
	requiredLabel: undefined,
	dataRack: undefined,
	maximumPerMinion: undefined,
	allowsCopies: false,
	isLasting: false,
	image: '',
	tailBoundMs: undefined,
	isFiller: false,
	disruptionBudget: undefined,
};
