import type {StepSpecification} from './types.js';

/** A step of one small task without special requirements. Benchmarks and tests derive their steps from it. */
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
